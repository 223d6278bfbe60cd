#!/bin/bash
# Removes one guard at a time from a copy of the tree and expects the named tests to fail.
# Usage: tools/guards.sh [guard ...]; without names all of them. A guard whose removal goes unnoticed is printed as MISSED.
set -uo pipefail
cd "$(dirname "$0")/.."
root=$(pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
missed=0
want=("$@")
known=$(sed -n 's/^guard \([a-z-]*\) .*/\1/p' "$0")
for w in "${want[@]}"; do
  if ! grep -qx -- "$w" <<<"$known"; then echo "guards.sh: there is no guard \"$w\"; there are:" $known >&2; exit 2; fi
done

guard() { # name, file, perl expression, package, test regex
  local name=$1 file=$2 expr=$3 pkg=$4 tests=$5
  if [ ${#want[@]} -gt 0 ] && [[ ! " ${want[*]} " == *" $name "* ]]; then return; fi
  rm -rf "$work/tree"; mkdir "$work/tree"
  git -C "$root" archive HEAD | tar -x -C "$work/tree"
  perl -0pi -e "$expr" "$work/tree/$file"
  if git -C "$root" show "HEAD:$file" | cmp -s - "$work/tree/$file"; then echo "STALE   $name: the expression changes nothing"; missed=1; return; fi
  if ! (cd "$work/tree" && go vet "./$(dirname "$file")") >"$work/out" 2>&1; then echo "STALE   $name: does not compile"; head -3 "$work/out"; missed=1; return; fi
  if (cd "$work/tree" && timeout 300 go test -count=1 -timeout 280s "$pkg" -run "$tests") >"$work/out" 2>&1; then
    echo "MISSED  $name ($tests)"; missed=1
  else
    echo "caught  $name ($tests): $(grep -m1 -oE -e '--- FAIL: [A-Za-z/_0-9]+' -e 'build failed' -e 'panic: .{0,60}' "$work/out"); $(grep -m1 -oE -e 'never-[0-9]+ [a-z ,]+' -e 'assertion failed.{0,60}' -e 'a caller waited.{0,20}' -e 'not within.{0,60}' "$work/out")"
  fi
}

S=./internal/proof/sim
guard fence-replica internal/ledger/replica/replica.go 's/if s := r.seals\[t.Partition\]; t.Epoch < s \{/if s := r.seals[t.Partition]; false && t.Epoch < s {/' ./internal/ledger/replica 'Fenced'
guard fence-cut internal/ledger/replica/replica.go 's/(func \(r \*Replica\) CutTo.*?)r\.enter\(ctx, t\)/$1r.turns.TakeNumber(ctx, t.Partition)/s' ./internal/ledger/replica 'CutsNothing'
guard seal-before-tail internal/ledger/owner/takeover.go 's/\[\]sealed\) bool \{ return len\(gather.Good\(as\)\) >= o.Rec.Majority\(\) \}/[]sealed) bool { return len(gather.Good(as)) >= 1 }/; s/n < o.Rec.Majority\(\) \{/n < 1 {/' $S 'Faults|TakeOver|Seeds'
guard best-tail internal/ledger/owner/takeover.go 's/if t := s.A.Tails\[k\].Last; top.Less\(t\) \{/if t := s.A.Tails[k].Last; false \&\& top.Less(t) {/' $S 'Faults|TakeOver|Seeds'
guard epoch-used-before internal/ledger/owner/takeover.go 's/s >= o.Rec.Epoch \{/false \&\& s >= o.Rec.Epoch {/' $S 'UsedEpoch|Seeds'
guard commit-majority internal/ledger/owner/track.go 's/o := os\[r.Majority\(\)-1\]/o := os[0]/' $S 'Faults|Seeds'
guard commit-epoch-start internal/ledger/owner/track.go 's/\|\| !ok \|\| p.Epoch != r.Epoch/|| !ok || p.Epoch > r.Epoch/' ./internal/ledger/owner 'EpochStart'
guard repeat-known internal/samza/state/state.go 's/if e.Call <= a.Last \{\n\t\t\treturn/if e.Call <= a.Last {\n\t\t\ta.Last--/' ./internal/samza/changelog 'Replay'
guard prune-keeps-last internal/samza/state/state.go 's/a\.Recent = slices\.Clone\(a\.Recent\[i:\]\)/a.Recent, a.Last = slices.Clone(a.Recent[i:]), 0/' ./internal/samza/state 'Pruning'
guard altered-body internal/ledger/owner/submit.go 's/if t.Digest != dig \{/if false \&\& t.Digest != dig {/' ./internal/proof/transcript 'BadInput'
guard description-known internal/ledger/desk/desk.go 's/if x.Sequence < q.Description \{/if false \&\& x.Sequence < q.Description {/' $S 'Before'
guard silence-is-no-answer internal/gather/gather.go 's/for range len\(ws\) - len\(as\) \{/for range 0 {/' ./internal/gather 'NotAnswer'
guard base-not-back internal/ledger/line/line.go 's/if p.Offset <= l.base.Offset \|\| p.Offset > l.last\(\).Offset \{\n\t\treturn/if p.Offset <= l.base.Offset || p.Offset > l.last().Offset {\n\t\tl.base, l.es, l.at = p, nil, nil\n\t\treturn/' ./internal/ledger/line 'Base'
guard gap internal/ledger/owner/submit.go 's/if q.Call > last\+1 \|\| q.Call == 0 \{/if q.Call == 0 {/' ./internal/proof/transcript 'BadInput'
guard assure internal/ledger/owner/assure.go 's/r\.err = o\.ask\(ctx\)/_ = ctx/' $S 'CutOffOwner'
guard generation internal/ledger/owner/submit.go 's/if q.Generation < gen \{/if false \&\& q.Generation < gen {/' $S 'OldAttachment'
guard reprocess internal/ledger/owner/takeover.go 's/todo := led.line.Slice\(input\+1, led.commit/todo := led.line.Slice(led.commit+1, led.commit/' $S 'Faults|Reprocess'
guard offset-after-batch internal/samza/changelog/changelog.go 's/len\(parts\) < b.Parts \{/false {/' ./internal/samza/changelog 'Whole'
guard directory-check internal/ledger/replica/replica.go 's/return d, ok && at == d.At/return d, ok \&\& at != line.Point{}/' ./internal/ledger/replica 'Directory'
guard renew-named-disk internal/node/owners/owners.go 's/ \|\| !k\.named\(r\)//' $S 'WipedStoreAsks'
guard reread-again internal/node/owners/owners.go 's/alone = !k\.reread\(ctx, o\.Rec\.Partition\)/_, alone = k.reread(ctx, o.Rec.Partition), false/' $S 'KeepsAsking'
guard disk-incarnation internal/ledger/replica/replica.go 's/if t.Incarnation != r.incarnation \{/if false \&\& t.Incarnation != r.incarnation {/' ./internal/ledger/replica 'Incarnation'
guard voter-incarnation internal/control/voter/voter.go 's/if inc != v.incarnation \{/if false \&\& inc != v.incarnation {/' ./internal/control/voter 'Wiped'
guard voter-roster internal/control/voter/voter.go 's/if v.roster.Sequence != b.Roster \|\| b.Roster == 0 \{/if b.Roster == 0 {/' ./internal/control/voter 'Roster'
guard voter-seal internal/control/voter/voter.go 's/if v.sealed\(\) && b.Key != RosterKey \{/if false \&\& v.sealed() \&\& b.Key != RosterKey {/' ./internal/control/voter 'Sealed'
guard promise internal/control/voter/voter.go 's/if q.Epoch.Less\(s.Promised\) \|\| s.Above\(n\) \{/if s.Above(n) {/' ./internal/control/voter 'Promise'
guard claim-asks internal/control/holder/holder.go 's/err != nil \|\| w\.Holds/err != nil || w.Holds || true/' $S 'WholeFleetIs'
guard compare-and-set internal/control/holder/holder.go 's/if v.value.Writes != q.Base \{/if false \&\& v.value.Writes != q.Base {/' $S 'TwoOperators|Outcome'
guard base internal/operator/operator.go 's/if cur.Sequence != d.Base \{/if false \&\& cur.Sequence != d.Base {/' $S 'TwoOperators|Invalid'
guard retired-urgency internal/description/retired.go 's/ok && u != s\.Urgent/ok \&\& false/' $S 'ComesBack'
guard dropped-topics internal/visitor/follow.go 's/if x\.Sequence == st\.index \{/if true {/' $S 'TakesEffect'
guard licence internal/session/session.go 's/if now.Before\(k.until\) \{/if now.Before(k.until) || true {/' $S 'CutNode'
guard never-back internal/gossip/gossip.go 's/n.Description.Sequence > b.desc.Sequence/n.Description.Sequence != b.desc.Sequence/' ./internal/gossip 'Back'
guard interest internal/visitor/follow.go 's/\|\| !st.want\[e.Topic\] \|\|/||/' $S 'QuietDay'
guard live-not-resumed internal/visitor/follow.go 's/e.Live && \(e.Hollow \|\| e.Offset <= l.live\)/false/' ./internal/proof/transcript 'Picker'
guard stream-fence internal/visitor/follow.go 's/e.Generation > st.t.who.Generation \{/false {/' ./internal/proof/transcript 'Picker'
guard skip-seen internal/visitor/follow.go 's/if e.Offset <= st.pos\[l.p\] \{/if false {/' ./internal/visitor 'Skips'
guard keep-before-trim internal/ledger/owner/takeover.go 's/l.Older\(now.Add\(-o.d.Bounds.Kept\(\)\)\)/l.Older(now.Add(-o.d.Bounds.Spread))/' $S 'Keeping'
guard trim-behind-input internal/ledger/owner/takeover.go 's/min\(l\.Older\(now\.Add\(-o\.d\.Bounds\.Kept\(\)\)\), in\)/l.Older(now.Add(-o.d.Bounds.Kept()))+0*in/' $S 'TrimmingWaits'
guard deaf-passed-over internal/placement/duty/duty.go 's/case m\.Deaf && s\.now/case false \&\& m.Deaf \&\& s.now/' $S 'DeafOwner'
guard anew-whole internal/disk/journal/journal.go 's/if k := unfinished\(fs\); k < len\(fs\) \{/if k := unfinished(fs); false \&\& k < len(fs) {/' ./internal/proof/crash 'AfterEveryWrite'
guard probe-writes internal/disk/journal/journal.go 's/return j\.Put\(ctx, true, nil, Rec\{Kind: kinds\.Probe, Body: make\(\[\]byte, probeBytes\)\}\)/return j.Put(ctx, true, nil)/' $S 'Faults.*disk_fills'
guard torn-or-damaged internal/disk/journal/journal.go 's/if bad != 0 && bad <= mark \{/if false {/' ./internal/disk/walog 'Tails'
guard failed-write internal/disk/journal/journal.go 's/if last > j.mark \{/if false {/' ./internal/disk/walog 'FullDisk'
guard urgent-home internal/ledger/desk/desk.go 's/urgent = urgent && d\.TwoHomes\(\)/urgent = false/' $S 'UrgentGoes'
guard urgent-opens-alone internal/visitor/follow.go 's/if firm == 0 \{/if true {\n\t\tfirm += len(routine)/; s/o\.urgent \|\| len\(urgent\) == 0/true/' $S 'UrgentGoes'
guard urgent-never-waits internal/visitor/follow.go 's/go func\(\) \{\n\t\tes, err := f\.After/func() {\n\t\tes, err := f.After/' $S 'UrgentGoes'
guard urgent-writes-alone internal/disk/journal/journal.go 's/if len\(ps\) > 0 \{\n\t\t\tbreak\n\t\t\}//' ./internal/disk/journal 'WrittenAlone'
guard scrub-in-slices internal/disk/journal/journal.go 's/scrubSlice  = 256/scrubSlice  = 1 << 30/' ./internal/disk/journal 'ScrubLets'
guard slow-passed-over internal/placement/duty/duty.go 's/case m\.slow && m\.slowFor/case false \&\& m.slow \&\& m.slowFor/' $S 'SlowStore'
guard load-counts internal/placement/duty/duty.go 's/return idle \+ m\.Loads\[r\.Partition\]/_ = m\n\t\treturn idle/' $S 'SkewedLoad'
guard told-at-once internal/ledger/desk/desk.go 's/if over && d\.Board/if false \&\& over \&\& d.Board/' $S 'ToldAtOnce'
guard urgent-lane internal/visitor/service.go 's/if t\.urgent\(\) \{\n\t\tl = /if false {\n\t\tl = /' $S 'UrgentUnderFlood'
exit $missed
