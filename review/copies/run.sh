#!/bin/sh
# Copies of answered calls: exit code 1: an attempt started again, 0: none did, 2: it could not run. TROUBLE=0: no copies.
exec sh "$(dirname "$0")/../run-case.sh" copies CopiedCall
