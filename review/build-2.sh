#!/bin/sh
# Builds the stand-ins of cases 6 to 10, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standins-2/target
mkdir -p review/standins-2/target
javac --release 17 -encoding UTF-8 -d review/standins-2/target review/standins-2/src/*.java
