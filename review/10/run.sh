#!/bin/sh
# Runs case 10, after the build of the deploy file and review/build-2.sh. It exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x bin/dahliaford ] && [ -x review/bin/standin2 ] || exit 2
exec review/bin/standin2 queue "$folder"
