#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -d target/review-2 ] || { echo "review/build-2.sh has not been run" >&2; exit 2; }
java -Xmx128m -XX:+UseSerialGC -cp target/review-2 DrainInHandOver "$folder" &
play=$!
trap 'kill "$play" 2>/dev/null; wait "$play"; exit 2' HUP INT TERM
wait "$play"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
