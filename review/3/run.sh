#!/bin/sh
# Plays the case of this folder and writes record.txt here. Status 1: the rule was broken, 0: it held, 2: the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/dahliaford ] && [ -x review/bin/standin ] || exit 2
exec review/bin/standin ids review/3
