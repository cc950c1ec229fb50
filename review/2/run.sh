#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
program="$root/review/standins/target/release/outage"
[ -n "$run" ] && [ -x "$program" ] || { echo "cannot run: build the project and review/build.sh first" >&2; exit 2; }
# The program starts the node and the stand-ins, writes record.txt and ends all that it started.
exec "$program" "$here/record.txt" "$root" "$run"
