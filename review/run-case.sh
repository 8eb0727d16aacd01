#!/bin/sh
# run-case.sh FOLDER CLASS: plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
if [ ! -f "$root/target/heathswitch.jar" ] || [ ! -f "$root/review/target/$2.class" ]; then
  echo "build first: the line build of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
exec java -Xmx256m -cp "$root/review/target" "$2" "$root" "$folder"
