#!/bin/sh
# Checks that all stand-ins and scripts of the cases 6 to 10 compile. They are Python programs
# without dependencies; the build of the deploy file makes the programs that they start.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
test -x target/release/limpetquay || { echo "the build of the deploy file is missing"; exit 1; }
