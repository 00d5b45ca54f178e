#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
exec sh "$(dirname "$0")/../run-case.sh" 3 Starved
