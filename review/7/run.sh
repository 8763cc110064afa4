#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
case=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case/../.." || exit 2
[ -d target/review-2 ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
exec java -Xmx128m -XX:+UseSerialGC -cp target/review-2 HandOverInOutage "$case"
