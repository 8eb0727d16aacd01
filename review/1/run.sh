#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption, and has to exit with 0.
here=$(dirname "$0")
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in
  0 | 1) export TROUBLE ;;
  *) echo "TROUBLE is 0 or 1, not $TROUBLE" >&2; exit 2 ;;
esac
exec sh "$here/../run-case.sh" "$here" UnfinishedHeads
