#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2
if [ ! -f "$root/target/review/ManyAtOnce.class" ] || [ ! -f "$root/target/load-balancer.jar" ]; then
    echo "build first: the build of the deploy file, then review/build.sh"
    exit 2
fi
timeout -k 5 100 java -Xmx512m -cp "$root/target/review" ManyAtOnce "$root" "$folder" "$here/record.txt"
code=$?
rm -rf "$folder"
# Any other code is that of a virtual machine or a time limit.
case $code in
    20) exit 0 ;;
    21) exit 1 ;;
    *) exit 2 ;;
esac
