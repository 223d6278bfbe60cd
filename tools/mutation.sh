#!/bin/bash
# Mutation tests: applies one mutant at a time to a copy of the tree and expects the named tests to fail.
# Usage: tools/mutation.sh [-stale] [mutant ...]; without names all of them. The mutants stand in tools/mutations/, one
# file for each package. A mutant that no test notices is printed as MISSED, one whose expression no longer changes
# compiling code as STALE. With -stale no test is run: only staleness is checked.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
stale_only=false
if [ "${1:-}" = -stale ]; then stale_only=true; shift; fi
wanted=("$@")
known=$(cat tools/mutations/*.sh | sed -n 's/^mutant \([a-z-]*\) .*/\1/p')
for name in "${wanted[@]}"; do
  if ! grep -qx -- "$name" <<<"$known"; then echo "mutation.sh: there is no mutant \"$name\"; there are:" $known >&2; exit 2; fi
done

mutant() { # name, file (several joined by commas), perl expression, package, test regex
  local name=$1 files=${2//,/ } expr=$3 package=$4 tests=$5 file
  if [ ${#wanted[@]} -gt 0 ] && [[ ! " ${wanted[*]} " == *" $name "* ]]; then return; fi
  rm -rf "$work/tree"; mkdir "$work/tree"
  git -C "$root" archive HEAD | tar -x -C "$work/tree"
  for file in $files; do
    if [ ! -f "$work/tree/$file" ]; then echo "STALE   $name: there is no $file"; failed=1; return; fi
    perl -0pi -e "$expr" "$work/tree/$file"
    if git -C "$root" show "HEAD:$file" | cmp -s - "$work/tree/$file"; then echo "STALE   $name: the expression changes nothing in $file"; failed=1; return; fi
  done
  if ! (cd "$work/tree" && go vet "./$(dirname "$file")") >"$work/out" 2>&1; then echo "STALE   $name: does not compile"; head -3 "$work/out"; failed=1; return; fi
  if $stale_only; then echo "applies $name"; return; fi
  if (cd "$work/tree" && timeout 300 go test -count=1 -timeout 280s "$package" -run "$tests") >"$work/out" 2>&1; then
    echo "MISSED  $name ($tests)"; failed=1
  else
    echo "caught  $name ($tests): $(grep -m1 -oE -e '--- FAIL: [A-Za-z/_0-9]+' -e 'build failed' -e 'panic: .{0,60}' "$work/out"); $(grep -m1 -oE -e 'never-[0-9]+ [a-z ,]+' -e 'assertion failed.{0,60}' -e 'a caller waited.{0,20}' -e 'not within.{0,60}' "$work/out")"
  fi
}

# Packages of tests that many mutants name.
S=./internal/testing/sim
M=./internal/control/model
for file in tools/mutations/*.sh; do . "$file"; done
exit $failed
