#!/bin/bash
set -euo pipefail
cd "$(dirname "$0")"
bad=$(gofmt -l $(git ls-files '*.go' 2>/dev/null || find . -name '*.go'))
if [ -n "$bad" ]; then echo "gofmt: $bad"; exit 1; fi
go vet ./...
go test -race -count=1 -timeout 8m ./...
# Simulated fleets run again in full without the race detector, which slows them tenfold.
go test -count=1 -timeout 6m ./internal/proof/sim ./internal/proof/crash
