#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
