#!/usr/bin/env bash
# Runs a case of the second review: run-case-2.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run.
set -uo pipefail
class=$1
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -f target/toucanrelay-gateway.jar ] || [ ! -f "target/review-2/$class.class" ]; then
    echo "build with the command of deploy/system.toml and with review/build-2.sh first"
    exit 2
fi
timeout 118 java -Xmx400m -cp target/review-2 Launch "$class" "$folder/record.txt"
case $? in
    20) exit 0 ;;
    21) exit 1 ;;
    *) exit 2 ;;
esac
