#!/bin/sh
# Runs the case in the folder $1 with its main class $2; exits with 0 if the rule held, 1 if not, 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
[ -f target/review/Fleet.class ] && [ -f target/toucanrelay-gateway.jar ] || { echo "not built"; exit 2; }
exec java -Xmx512m -cp target/review "$2" "review/$1/record.txt"
