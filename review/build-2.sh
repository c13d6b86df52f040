#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/stand2 ./review/_stand2
