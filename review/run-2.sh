#!/bin/sh
# Runs one case: run-2.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. The class ends after 115 s at the latest, and the balancer with it. TROUBLE=0
# leaves the disruption out. The balancer's log is kept beside the record.
set -u
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in
  0 | 1) ;;
  *) echo "TROUBLE is 0 or 1, not $TROUBLE" >&2; exit 2 ;;
esac
folder=$(cd "$1" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/heathswitch.jar ] || [ ! -d review/standins-2/target ]; then
  echo "build first: the line build of deploy/balancer.toml, then review/build-2.sh" >&2
  exit 2
fi
temporary=$(mktemp -d) || exit 2
java -XX:+UseSerialGC -Xmx512m -cp review/standins-2/target "$2" \
  "$temporary" "$TROUBLE" "$folder/record.txt" &
running=$!
trap 'kill $running 2>/dev/null' INT TERM HUP
wait $running
code=$?
cp "$temporary"/*/balancer.log "$folder/balancer.log" 2>/dev/null
rm -rf "$temporary"
[ "$code" -le 1 ] || code=2
exit $code
