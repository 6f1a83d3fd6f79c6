#!/bin/sh
# Builds the stand-ins of review 3; the build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-3/*.java
