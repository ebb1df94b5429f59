#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs Go and this repository only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
exec go build -o review/bin/ ./review/standin
