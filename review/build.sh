#!/bin/bash
# Builds the stand-ins of all cases. Needs Go alone; they import nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-stand ./review/stand
