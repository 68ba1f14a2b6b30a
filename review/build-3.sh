#!/bin/sh
# Checks that the stand-ins and scripts of the cases 11 to 15 can be run. They are in Python and need
# no build; the project's own programs come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/limpetquay || {
    echo "target/release/limpetquay is missing: run the build of deploy/system.toml first" >&2
    exit 1
}
for file in review/common-3/stand_ins.py review/1[1-5]/case.py; do
    if test -f "$file"; then
        python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
    fi
done
python3 -B -c 'import sys; sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)'
