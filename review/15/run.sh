#!/bin/sh
# Case 15; TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-3/LongPrompts.class ] || exit 2
exec java -cp target/review-3 LongPrompts review/15
