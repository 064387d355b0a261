#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
n=$(basename "$here")
[ -x "$here/../bin/case$n" ] || { echo "run review/build.sh first"; exit 2; }
ROOT=$(cd "$here/../.." && pwd) RECORD="$here/record.txt" "$here/../bin/case$n"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
