#!/bin/bash
# Formats, vets, lints and tests the tree. Needs Go and its modules, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
files=$(git ls-files '*.go' 2>/dev/null || find . -name '*.go')
bad=$(gofmt -l $files)
if [ -n "$bad" ]; then echo "gofmt: $bad"; exit 1; fi
go vet ./...
# The linters are pinned in a module of their own; the product's go.mod keeps only what it runs on.
lint() { go tool -modfile=tools/lint/go.mod "$@"; }
bad=$(lint goimports -local postjunction -l $(grep -v easyjson <<<"$files"))
if [ -n "$bad" ]; then echo "goimports: $bad"; exit 1; fi
# All checks of staticcheck; package comments and receiver names are revive's.
lint staticcheck -checks all,-ST1000,-ST1016 ./...
lint errcheck ./...
lint revive -config tools/lint/revive.toml -exclude internal/configuration/types_easyjson.go ./...
# Tests of KNOWN-RED.txt, if it is there (a line each: test, package, cause, issue), run by themselves; their verdict is printed and passed over.
# A subtest is named with its test, as go test prints it; the others of that test count.
exactly() { sed 's|/|$/^|g; s|^|^|; s|$|$|'; }
skip=()
if [ -s KNOWN-RED.txt ]; then skip=(-skip "$(cut -d' ' -f1 KNOWN-RED.txt | exactly | paste -sd'|')"); fi
go test -race -count=1 -timeout 15m "${skip[@]}" $(go list ./... | grep -v "/internal/testing/fleet\$")
# Days and a soak of real processes go by the real clock, and by themselves.
go test -race -count=1 -timeout 8m "${skip[@]}" ./internal/testing/fleet
# Simulated fleets, and the walks through the model of the registers, run in full without the race detector, which slows them tenfold.
go test -count=1 -timeout 12m "${skip[@]}" ./internal/testing/sim ./internal/testing/crash ./internal/control/model
if [ -s KNOWN-RED.txt ]; then
  while read -r name pkg why; do
    if go test -race -count=1 -timeout 3m -run "$(exactly <<<"$name")" "${pkg%:}" >/dev/null 2>&1; then v=green; else v=red; fi
    echo "known red, passed over, $v this time: $name ${pkg%:}: $why"
  done <KNOWN-RED.txt
fi
