#!/bin/sh
# Runs one case: run-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. Every process that it starts ends with it.
set -u
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
[ -f target/heathswitch.jar ] && [ -d review/standins-2/target ] || exit 2
temporary=$(mktemp -d)
java -XX:+UseSerialGC -Xmx512m -cp review/standins-2/target "$2" \
  "$temporary" "${TROUBLE:-1}" "$case_folder/record.txt" &
cases=$!
trap 'kill $cases 2>/dev/null' INT TERM
( sleep 118; kill -9 $cases 2>/dev/null ) >/dev/null 2>&1 &
guard=$!
wait $cases
code=$?
kill $guard 2>/dev/null
[ -n "${KEEP_LOGS:-}" ] && mkdir -p "$case_folder/logs" && cp "$temporary"/*/balancer.log "$case_folder/logs/"
rm -rf "$temporary"
[ "$code" -le 1 ] || code=2
exit $code
