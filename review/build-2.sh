#!/usr/bin/env bash
# Builds the stand-in of the scripted cases 6 to 10. The programs of the project are built before, by the command of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/standin-2 ./review/standin-2
