#!/bin/sh
# Builds the stand-ins of all cases into target/review; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -d target/review review/standins/*.java
