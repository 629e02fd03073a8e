#!/usr/bin/env bash
# Builds the stand-ins that the cases of this folder start. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -buildvcs=false -o ../../target/review/standin .
