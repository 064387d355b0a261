#!/bin/sh
# Runs this case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
number=8
program="target/review-2/case-$number"
[ -x "$program" ] && [ -x target/release/sandstile ] || { echo "run the deploy file's build and review/build-2.sh first"; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "review/$number" "$folder"
code=$?
# After a time-out the routers are still there.
case $code in 124 | 137) kill -9 $(tail -n 2 "$folder/pids") 2>/dev/null ;; esac
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
