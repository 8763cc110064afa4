#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf ../target/review
mkdir -p ../target/review
javac -Xlint:all,-serial -d ../target/review standins/*.java
