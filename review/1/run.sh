#!/bin/sh
# Plays the case against target/kumquatgw: exit 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/kumquatgw" ] && [ -x "$root/review/bin/standin" ] || { echo "not built"; exit 2; }
exec "$root/review/bin/standin" foreign "$root" "$here"
