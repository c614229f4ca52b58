#!/bin/sh
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Writes what was sent, answered and run to record.txt in this folder.
exec node "$(dirname "$0")/run.mjs"
