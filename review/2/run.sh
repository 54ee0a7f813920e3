#!/bin/sh
# Exit status: 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0
# the added prefix has no escaped letter.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/kumquatgw" ] && [ -x "$root/review/bin/standin" ] || exit 2
exec "$root/review/bin/standin" prefix "$root" "$folder"
