#!/bin/sh
# Makes target/load-balancer.jsa: classes as the JVM holds them in memory. With it a balancer starts in half of the
# time. A start without it is only slower, so a failure here is none of the build.
cd "$(dirname "$0")/.." || exit 0
NODE_CONFIG=deploy/rehearsal.json java -XX:ArchiveClassesAtExit=target/load-balancer.jsa -XX:+UseSerialGC \
    -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false -Djava.net.preferIPv4Stack=true -jar target/load-balancer.jar serve >target/archive.log 2>&1 &
node=$!
for i in 1 2 3 4 5 6 7 8 9 10; do
    sleep 1
    grep -q serving target/archive.log && break
done
kill "$node"
wait "$node"
exit 0
