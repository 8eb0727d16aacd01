#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no connection is late.
exec sh "$(dirname "$0")/../run-2.sh" "$(dirname "$0")" LateRepeat
