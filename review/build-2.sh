#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. Needs Go alone; they import nothing but the standard
# library. The programs themselves come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-stand-2 ./review/stand2
