#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review into target/review-2; needs the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
