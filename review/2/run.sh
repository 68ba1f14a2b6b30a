#!/bin/sh
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 in the environment, it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1}
cd "$here/../.." || exit 2
[ -x target/release/limpetquay ] && [ -x target/review/stand_ins ] || exit 2
exec target/review/stand_ins late-deregistration "$here" "$trouble"
