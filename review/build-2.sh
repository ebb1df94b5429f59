#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs only this repository and Go; run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin2 ./review/standin2
