#!/bin/sh
here=$(dirname "$0")
exec sh "$here/../run-case.sh" "$here" SlowWriters
