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

S=./internal/testing/sim
guard fence-replica internal/partitionlog/replica/replica.go 's/if s := r.seals\[t.Partition\]; t.Epoch < s \{/if s := r.seals[t.Partition]; false && t.Epoch < s {/' ./internal/partitionlog/replica 'Fenced'
guard fence-cut internal/partitionlog/replica/replica.go 's/(func \(r \*Replica\) CutTo.*?)in, err := r\.enter\(ctx, t\)\n\tif err != nil \{\n\t\treturn err\n\t\}/$1back, err := r.turns.TakeNumber(ctx, t.Partition)\n\tif err != nil {\n\t\treturn err\n\t}\n\tin := turn.Hold(back)/s' ./internal/partitionlog/replica 'CutsNothing'
guard seal-before-tail internal/partitionlog/leader/takeover.go 's/\[\]sealed\) bool \{ return len\(gather.Good\(as\)\) >= o.Rec.Majority\(\) \}/[]sealed) bool { return len(gather.Good(as)) >= 1 }/; s/n < o.Rec.Majority\(\) \{/n < 1 {/' $S 'Faults|TakeOver|Seeds'
guard best-tail internal/partitionlog/leader/takeover.go 's/if t := s.A.Tails\[k\].Last; top.Less\(t\) \{/if t := s.A.Tails[k].Last; false \&\& top.Less(t) {/' $S 'Faults|TakeOver|Seeds'
guard epoch-used-before internal/partitionlog/leader/takeover.go 's/s >= o.Rec.Epoch \{/false \&\& s >= o.Rec.Epoch {/' ./internal/partitionlog/leader 'SealedEpoch'
guard commit-majority internal/partitionlog/leader/track.go 's/o := os\[r.Majority\(\)-1\]/o := os[0]/' $S 'Faults|Seeds'
guard commit-epoch-start internal/partitionlog/leader/track.go 's/\|\| !ok \|\| p.Epoch != r.Epoch/|| !ok || p.Epoch > r.Epoch/' ./internal/partitionlog/leader 'EpochStart'
guard repeat-known internal/samza/state/state.go 's/if e.Call <= a.Last \{\n\t+s\.Recall\(e\)\n\t+return/if e.Call <= a.Last {\n\t\ta.Last--/' ./internal/samza/changelog 'Replay'
guard prune-keeps-last internal/samza/state/state.go 's/(a\.Floor = max\(a\.Floor, a\.Recent\[i-1\]\.Call\)\n\t+)a\.Recent = a\.Recent\[i:\]/$1a.Recent, a.Last = a.Recent[i:], 0/' ./internal/samza/state 'Pruning'
guard altered-body internal/partitionlog/leader/submit.go 's/case ok && t.Digest != name:/case ok \&\& false:/' ./internal/testing/transcript 'BadInput'
guard description-known internal/partitionlog/router/desk.go 's/if x.Sequence < q.Description \{/if false \&\& x.Sequence < q.Description {/' $S 'Before'
guard silence-is-no-answer internal/quorum/gather.go 's/for range len\(ws\) - len\(as\) \{/for range 0 {/' ./internal/quorum 'NotAnswer'
guard base-not-back internal/partitionlog/log/line.go 's/if p.Offset <= l.base.Offset \|\| p.Offset > l.last\(\).Offset \{\n\t\treturn/if p.Offset <= l.base.Offset || p.Offset > l.last().Offset {\n\t\tl.base, l.es, l.at = p, nil, nil\n\t\treturn/' ./internal/partitionlog/log 'Base'
guard passed internal/partitionlog/leader/submit.go 's/if q.Call <= last \{/if _, ok := a.Find(q.Call); ok {/' ./internal/testing/transcript 'BadInput'
guard floor internal/samza/state/state.go 's/a\.Floor = max\(a\.Floor, a\.Recent\[i-1\]\.Call\)/a.Floor += 0/' ./internal/testing/transcript 'BadInput'
guard recall-again internal/samza/state/state.go 's/s\.Recall\(e\)\n/_ = e\n/' ./internal/samza/changelog 'WithoutItsRecord'
guard gone-before-trim internal/partitionlog/leader/takeover.go 's/ && !o\.st\.Changed\(\)//' $S 'WhatIsGone'
guard recall internal/partitionlog/leader/takeover.go 's/st\.Recall\(e\)/_ = st/' $S 'OfferedInOrder'
guard offers-in-order internal/partitionlog/router/offer.go 's/l\.wait = append\(os, l\.wait\.\.\.\)/l.wait = append(l.wait, os...)/' ./internal/partitionlog/router 'Order'
guard offer-doubt internal/partitionlog/router/offer.go 's/o\.doubt = o\.doubt \|\| r\.Owner != d\.Self/o.doubt = o.doubt \&\& doubts[i]/' ./internal/partitionlog/router 'Promise'
guard place-meanwhile internal/delivery/fanout/feed.go 's/s\.After != nil && \(!ok \|\| at > \*s\.After\)/false \&\& ok \&\& at > 0/' ./internal/delivery/fanout 'BetweenThePlace'
guard lean-stays-lean internal/gossip/gossip.go 's/if !g\.Disk \{\n\t\t\tn\.Records = nil\n\t\t\}/_ = g/' ./internal/gossip 'WithoutTheirHistory'
guard apart-told internal/control/quorumread/confirm.go 's/c\.Apart = f\.reached != none && /c.Apart = false \&\& /' $S 'ACutControlNode'
guard apart-left internal/nodelease/session.go 's/if a\.Apart \{\n\t\treturn problem/if false \{\n\t\treturn problem/' $S 'ACutControlNode'
guard waiting-apart internal/delivery/fanout/feed.go 's/slices\.Concat\(w, f\.waiting\)/append(w, f.waiting...)/' ./internal/delivery/fanout 'HastenedLate'
guard deaf-lets-go internal/delivery/fanout/feed.go 's/return f\.reader && f\.number > 0 &&/return false \&\& f.number > 0 \&\&/' $S 'ADeafRouter'
guard deaf-releases-first internal/delivery/fanout/feed.go 's/(go func\(\) \{\n)\t\tf\.h\.release\(f\.p, true\)\n(\t\tfor tries := range farewells)/$1$2/' ./internal/delivery/fanout 'ADeafReader'
guard deaf-streams internal/delivery/stream/feed.go 's/> f\.bounds\.Recovery && d\.depart\(\)/> f.bounds.Recovery \&\& d == nil/' $S 'StreamsForget'
guard silent-six internal/settings/bounds.go 's/silentShare     = 16/silentShare     = 12/' $S 'MadeGoodWithinASecond'
guard slow-is-not-silent internal/membership/failuredetector/watch.go 's/Silent\(\)\+2\*x\.took/Silent()+0*x.took/' $S 'AnswersSlowly'
guard copies-unsent internal/control/register/holder.go 's/peek\(ctx, s, s\.Node != h\.self\)/peek(ctx, s, false)/' $S 'NotSentAround'
guard highest-alike internal/control/acceptor/slot.go 's/\t\tif !top\.Above\(s\) \{/\t\tif !top.Above(s) || true {/' ./internal/control/register 'HighestCopies'
guard assure internal/partitionlog/leader/assure.go 's/r\.err = o\.ask\(ctx\)/_ = ctx/' $S 'CutOffOwner'
guard generation internal/partitionlog/leader/submit.go 's/if q.Generation > 0 && q.Generation < gen \{/if false \&\& q.Generation < gen {/' $S 'OldAttachment'
guard reprocess internal/partitionlog/leader/takeover.go 's/todo := led.line.Slice\(input\+1, led.commit/todo := led.line.Slice(led.commit+1, led.commit/' $S 'Faults|Reprocess'
guard offset-after-batch internal/samza/changelog/changelog.go 's/len\(parts\) < b.Parts \{/false {/' ./internal/samza/changelog 'Whole'
guard directory-check internal/partitionlog/replica/replica.go 's/return d, ok && at == d.At/return d, ok \&\& at != line.Point{}/' ./internal/partitionlog/replica 'Directory'
guard renew-named-disk internal/node/leaders/owners.go 's/ \|\| !k\.named\(r\)//' $S 'WipedStoreAsks'
guard reread-again internal/node/leaders/owners.go 's/for try := 0; !k\.reread\(ctx, p\); try\+\+ \{/for try := 0; !k.reread(ctx, p) \&\& try < 0; try++ {/' $S 'KeepsAsking'
guard disk-incarnation internal/partitionlog/replica/replica.go 's/if t.Incarnation != r.incarnation \{/if false \&\& t.Incarnation != r.incarnation {/' ./internal/partitionlog/replica 'Incarnation'
guard voter-incarnation internal/control/acceptor/voter.go 's/if inc != v.incarnation \{/if false \&\& inc != v.incarnation {/' ./internal/control/acceptor 'Wiped'
guard voter-roster internal/control/acceptor/voter.go 's/if v.roster.Sequence != b.Roster \|\| b.Roster == 0 \{/if b.Roster == 0 {/' ./internal/control/acceptor 'Roster'
guard voter-seal internal/control/acceptor/voter.go 's/if v.sealed\(\) && b.Key != RosterKey \{/if false \&\& v.sealed() \&\& b.Key != RosterKey {/' ./internal/control/acceptor 'Sealed'
guard promise internal/control/acceptor/slot.go 's/if e\.Less\(s\.Promised\) \|\| s\.Above\(n\) \{/if s.Above(n) {/' ./internal/control/acceptor 'Promise'
guard claim-asks internal/control/register/holder.go 's/err != nil \|\| w\.Holds/err != nil || w.Holds || true/' ./internal/control/register 'ClaimAsks'
guard compare-and-set internal/control/register/holder.go 's/if v.value.Writes != q.Base \{/if false \&\& v.value.Writes != q.Base {/' $S 'TwoOperators|Outcome'
guard unsent-only internal/wire/mux/network.go 's/case err == errUnsent && !again:/case err != nil \&\& !again:/' ./internal/wire/mux 'DoneTwice'
guard attach-once internal/partitionlog/leader/submit.go 's/if given == 0 && o\.isRepeated\(visitor, f, secret\) \{/if false {/' ./internal/partitionlog/leader 'RepeatedAttachment'
guard read-confirmed internal/control/register/holder.go 's/\t\tif h\.confirm\(ctx, k, v\) \{/\t\tif h.confirm(ctx, k, v) || true {/' $S 'TwentySeconds|AnsweredAsByOne'
M=./internal/control/model
guard slot-promise internal/control/acceptor/slot.go 's/if !s\.Promised\.Less\(e\) \{/if s.Promised == e {/' $M 'SmallBounds'
guard slot-accept internal/control/acceptor/slot.go 's/if e\.Less\(s\.Promised\) \|\| s\.Above\(n\) \{/if s.Above(n) {/' $M 'SmallBounds'
guard slot-accept-order internal/control/acceptor/slot.go 's/if e\.Less\(s\.Promised\) \|\| s\.Above\(n\) \{/if e.Less(s.Promised) {/' $M 'SmallBounds'
guard slot-highest internal/control/acceptor/slot.go 's/\t\tif s\.Above\(top\) \{/\t\tif top.Accepted.Zero() {/' $M 'SmallBounds'
guard slot-merge internal/control/acceptor/slot.go 's/s := Highest\(copies\)/s := copies[0]/' $M 'SmallBounds'
guard slot-alike internal/control/acceptor/slot.go 's/\t\tif !top\.Above\(s\) \{/\t\tif !top.Above(s) || true {/' $M 'SmallBounds'
guard intact internal/control/voters/roster.go 's/return len\(r\.Seats\) - r\.Majority\(\) \+ 1/return len(r.Seats) - r.Majority()/' $M 'SmallBounds'
guard base internal/operator/replace.go 's/case cur\.Sequence != d\.Base:/case false \&\& cur.Sequence != d.Base:/' $S 'TwoOperators|Invalid'
guard orders-remembered internal/operator/replace.go 's/Memory: log\.With\(o\)\.Pack\(\)/Memory: log.Pack()/' $S 'AcceptedOrder'
guard orders-forgotten internal/operator/orderlog/accepted.go 's/o\.Sequence > l\.Forgotten \|\| //' ./internal/operator/orderlog 'ForgetsTheOldest|OlderDescription'
guard orders-one-name internal/operator/orderlog/accepted.go 's/hex\.EncodeToString\(o\.Digest\[:\]\)/hex.EncodeToString([]byte{byte(o.Sequence)})/' ./internal/operator/orderlog 'DifferByContent'
guard stale-base-asked internal/control/register/holder.go 's/if v\.value\.Writes != q\.Base && !h\.confirm\(ctx, q\.Key, v\) \{/if false {/' ./internal/control/register 'StaleBase'
guard memory-kept internal/control/register/holder.go 's/, Memory: q\.Memory\}/}/' $S 'AcceptedOrder'
guard drain-stays internal/placement/decommission/drain.go 's/return ok && !d\.Back/return ok \&\& !d.Back \&\& !d.Done/' $S 'ARestartDoesNotEnd'
guard drain-fence internal/placement/controller/drains.go 's/fenced = fenced \|\| d\.fence\(ctx\)/fenced = true/' $S 'FencesWhat'
guard drain-read internal/placement/decommission/drain.go 's/return nil, problem\.Wrap\(problem\.DiskDamaged, err, "read the list of drains"\)/_ = problem.Kind("")\n\t\treturn List{}, nil/' ./internal/placement/decommission 'CantBeRead'
guard final-confirmed internal/operator/drains.go 's/all\.refuse\(problem\.UnknownNode/problem.New(problem.UnknownNode/' ./internal/operator 'FinalAnswers'
guard retired-urgency internal/configuration/retired.go 's/if p\.urgent != urgent \{/if false \&\& p.urgent != urgent {/' $S 'ComesBack'
guard lanes-kept internal/configuration/lanes.go 's/if _, ok := t\.longest\(p\); !ok \{/if true {/' ./internal/configuration 'Lane'
guard dropped-topics internal/client/follow.go 's/if x\.Sequence == st\.index \{/if true {/' $S 'TakesEffect'
guard licence internal/nodelease/session.go 's/if now\.Before\(k\.until\) \|\| /if true || /' $S 'CutNode'
guard never-back internal/gossip/gossip.go 's/d != nil && d.Sequence > b.desc.Sequence/d != nil && d.Sequence != b.desc.Sequence/' ./internal/gossip 'Back'
guard interest internal/client/follow.go 's/\|\| !st.want\[e.Topic\] \|\|/||/' $S 'QuietDay'
guard live-not-resumed internal/client/follow.go 's/e.Live && \(e.Hollow \|\| e.Offset <= l.live\)/false/' ./internal/testing/transcript 'Picker'
guard stream-fence internal/client/follow.go 's/e.Generation > st.t.who.Generation \{/false {/' ./internal/testing/transcript 'Picker'
guard skip-seen internal/client/follow.go 's/if e.Offset <= st.pos\[l.p\] \{/if false {/' ./internal/client 'Skips'
guard keep-before-trim internal/partitionlog/leader/takeover.go 's/l.Older\(now.Add\(-o.d.Bounds.KeptFor\(o.d.Longest\(\)\)\)\)/l.Older(now.Add(-o.d.Bounds.Spread))/' $S 'Keeping'
guard trim-behind-input internal/partitionlog/leader/takeover.go 's/to := min\(old, o\.input\)/to := old/; s/o\.trim\(line\.Ledger, to\)/o.trim(line.Ledger, max(to, o.forget()))/' $S 'TrimmingWaits'
guard deaf-passed-over internal/placement/controller/owners.go 's/case m\.Deaf && s\.now/case false \&\& m.Deaf \&\& s.now/' ./internal/placement/controller WhoLosesAPartition
guard anew-whole internal/disk/journal/journal.go 's/if k := unfinished\(fs\); k < len\(fs\) \{/if k := unfinished(fs); false \&\& k < len(fs) {/' ./internal/testing/crash 'AfterEveryWrite'
guard probe-writes internal/disk/journal/journal.go 's/return j\.Put\(ctx, true, nil, Rec\{Kind: kinds\.Probe, Body: make\(\[\]byte, probeBytes\)\}\)/return j.Put(ctx, true, nil)/' $S 'Faults/disk_fills'
guard torn-or-damaged internal/disk/journal/journal.go 's/if bad != 0 && bad <= mark \{/if false {/' ./internal/disk/walog 'Tails'
guard failed-write internal/disk/journal/journal.go 's/if last > j.mark \{/if false {/' ./internal/disk/walog 'FullDisk'
guard urgent-home internal/partitionlog/router/desk.go 's/urgent = urgent && d\.TwoHomes\(\)/urgent = false/' $S 'UrgentGoes'
guard urgent-opens-alone internal/client/follow.go 's/if firm == 0 \{/if true {\n\t\tfirm += len(routine)/; s/o\.urgent \|\| len\(urgent\) == 0/true/' $S 'UrgentGoes'
guard urgent-never-waits internal/client/follow.go 's/go func\(\) \{\n\t\tw, err := f\.After/func() {\n\t\tw, err := f.After/' ./internal/client ARoundOfAStream
guard urgent-writes-alone internal/disk/journal/journal.go 's/if len\(ps\) > 0 \{\n\t\t\tbreak\n\t\t\}//' ./internal/disk/journal 'WrittenAlone'
guard scrub-in-slices internal/disk/journal/anew.go 's/scrubSlice = 64/scrubSlice = 1 << 30/' ./internal/disk/journal 'ScrubLets'
guard slow-passed-over internal/placement/controller/owners.go 's/case m\.slow && m\.slowFor/case false \&\& m.slow \&\& m.slowFor/' $S 'SlowStore'
guard load-counts internal/placement/controller/scene.go 's/return idle \+ m\.Loads\[r\.Partition\]/_ = m\n\t\treturn idle/' $S 'SkewedLoad'
guard told-at-once internal/partitionlog/router/desk.go 's/if over && d\.Board/if false \&\& over \&\& d.Board/' $S 'ToldAtOnce'
guard urgent-lane internal/client/service.go 's/if t\.urgent\(\) \{\n\t\tl = /if false {\n\t\tl = /' $S 'UrgentUnderFlood'
guard newcomer-at-once internal/placement/controller/copies.go 's/wait = min\(wait, d\.early\(s\)\)/_ = d.early(s)/' $S 'ReplacedStore'
guard restart-moves-nothing internal/placement/controller/copies.go 's/wait = min\(wait, d\.Bounds\.Session\(\)\/2\)/wait = 0/' ./internal/placement/controller HowLongACopy
guard dead-seat-taken internal/control/reconfigurer/steward.go 's/ins, gone, whys = append\(ins, seat\(i\)\), append\(gone, out\)/ins, gone, whys = append(ins, seat(i)), append(gone, "")/; s/!ok \|\| len\(gone\) >= r\.Spare\(\)/true || !ok/' $S 'ReplacedVoter'
guard dead-seat-given-up internal/control/reconfigurer/steward.go 's/!ok \|\| len\(gone\) >= r\.Spare\(\)/true || !ok/' $S 'ReplacedVoter'
guard back-without-a-seat internal/control/reconfigurer/steward.go 's/i\.Roster < r\.Sequence && i\.Stage/i.Roster == 0 \&\& i.Stage/' $S 'SeatsOf'
guard turn-kept internal/disk/journal/journal.go 's/after: t\.More\(\), //' ./internal/control/acceptor 'GivesUp'
guard line-kept internal/disk/journal/journal.go 's/after: t\.More\(\), //' ./internal/partitionlog/replica 'GivesUp'
guard change-finished internal/control/reconfigurer/steward.go 's/s\.finish\(ctx, r, live, first\)/_ = first/' $S 'ChangeOfVotersOutlives'
guard astray internal/node/node.go 's/n\.goes\(func\(\) \{ n\.touch\.Run\(ctx\) \}\)/_ = n.touch.Run/' $S 'FellowThatReaches'
guard sent-in-vain internal/membership/reachability/touch.go 's/if a\.A\.Well \{/if true {/' $S 'SentAwayInVain'
guard left-alone internal/control/quorumread/confirm.go 's/if !f\.settle\(r, same\)/if false/' $S 'LeftAlone'
guard swift-is-swift internal/nodelease/session.go 's/return max\((slices\.Sorted\(slices\.Values\(k\.lags\)\)\[lagAt\]), .*\)\n/_ = options.SlowTimes\n\treturn $1\n/' ./internal/nodelease 'FarFromSlow'
guard no-disk-no-time internal/node/node.go 's/if n\.keeper != nil && o\.Disk != options\.DiskNone \{/if n.keeper != nil {/' $S 'TellHowLong'
guard covered-passed-over internal/partitionlog/leader/fan.go 's/ && !o\.st\.Covers\(e\)\)/)/' ./internal/partitionlog/leader 'CoveredIsPassed'
guard withdrawal-to-all internal/partitionlog/leader/fan.go 's/q\.all \|\| q\.want\(e\)/q.want(e)/' ./internal/partitionlog/leader 'WakesEveryPoll'
guard keys-for-who-minds internal/partitionlog/leader/fan.go 's/q\.marks && !o\.st\.Covers\(e\)\)/!o.st.Covers(e))/' ./internal/partitionlog/leader 'WakesEveryPoll'
guard reader-before-key internal/partitionlog/leader/fan.go 's/ && !q\.reads \{/ \&\& false {/' ./internal/partitionlog/leader 'ReaderIsNoted|SupersededOwner'
guard reader-of-this-run internal/partitionlog/leader/marks.go 's/if !ok \|\| r\.Boot != boot \{\n\t\treturn false, false/if !ok {\n\t\treturn false, false/' ./internal/partitionlog/leader 'ReaderIsNoted'
guard yes-waits-for-readers internal/partitionlog/leader/marks.go 's/case o\.read\(n, r\) < offset:/case false \&\& o.read(n, r) < offset:/' ./internal/partitionlog/leader 'YesWaits'
guard yes-under-the-boot internal/partitionlog/leader/marks.go 's/if !ok \|\| r\.Boot != boot \|\| r\.GivenUp \{/if !ok || r.GivenUp {\n\t\treturn\n\t}\n\tif boot = r.Boot; false {/' ./internal/partitionlog/leader 'YesWaits'
guard yes-assured internal/partitionlog/leader/marks.go 's/if err := o\.assure\(ctx\); err/if err := ctx.Err(); err/' ./internal/partitionlog/leader 'YesIsAssured'
guard mark-kept-until-read internal/partitionlog/leader/marks.go 's/least = min\(least, o\.read\(n, r\)\)/_ = o.read(n, r)/' ./internal/partitionlog/leader 'KeptUntilRead'
guard mark-kept-until-trimmed internal/partitionlog/leader/marks.go 's/least := o\.tracks\[line\.Ledger\]\.line\.Base\(\)\.Offset/least := o.pruned/' ./internal/partitionlog/leader 'PrunedIsNotTrimmed'
guard mark-stands-again internal/samza/state/state.go 's/if e\.What == line\.Withdraw \{\n\t\ts\.mark\(e\)\n\t\}//' ./internal/partitionlog/leader 'AtATakeOver'
guard mark-let-go-for-good internal/samza/state/state.go 's/if len\(b\) == 0 \|\| string\(b\) == \"null\" \{/if len(b) == 0 {/' ./internal/samza/changelog 'MarksSurvive'
guard sender-passed internal/samza/state/state.go 's/a\.Last = p\.Upto/a.Last += 0/' ./internal/partitionlog/leader 'NamedSender'
guard sender-passed-at-once internal/partitionlog/leader/submit.go 's/o\.ahead\(state\.Key\(q\.Of, q\.Topic\), q\.Upto, e\.Offset\)/_ = q.Of/' ./internal/partitionlog/leader 'NamedSender'
guard sender-passed-until-it-lands internal/partitionlog/leader/submit.go 's/len\(f\.flight\) == 0 && f\.at <= e\.Offset \{/len(f.flight) == 0 {/' ./internal/partitionlog/leader 'NamedSender'
guard key-is-part-of-a-call internal/partitionlog/leader/submit.go 's/state\.Named\(e\.What, e\.Key, e\.Digest\)/e.Digest/; s/case ok && t\.Digest != name:/case ok \&\& false:/' ./internal/partitionlog/leader 'AnswersToWithdrawals'
guard key-unknown-assured internal/partitionlog/leader/submit.go 's/, problem\.KeyUnknown: true\}/}/' ./internal/partitionlog/leader 'AnswersToWithdrawals|AlreadyRests'
guard given-up-starts-clean internal/partitionlog/leader/fan.go 's/if givenUp \|\| o\.past/if o.past/; s/if givenUp && !q\.Done \|\| late/if late/' ./internal/partitionlog/leader 'GivenUp'
guard given-up-only-when-gone internal/partitionlog/leader/marks.go 's/ && now\.Sub\(h\.member\) > o\.patience\(\)//' ./internal/partitionlog/leader 'GivenUp'
guard done-is-done internal/partitionlog/leader/fan.go 's/ \|\| f\.done \|\| / || /' ./internal/partitionlog/leader 'IsDoneIsGone'
guard run-is-over internal/partitionlog/leader/marks.go 's/ \|\| strings\.HasPrefix\(boot, a\.Info\.Boot\)/ || strings.Contains(boot, \"?\")/' ./internal/partitionlog/leader 'OfARunThatIsOver'
guard held-back-purge internal/delivery/fanout/feed.go 's/s\.held = slices\.DeleteFunc\(s\.held, func\(x line\.Entry\) bool \{ return x\.What == line\.Message && /s.held = slices.DeleteFunc(s.held, func(x line.Entry) bool { return false \&\& /' ./internal/delivery/fanout 'HeldBack'
guard older-than-a-mark internal/delivery/fanout/feed.go 's/return e\.Key != \"\" && e\.What == line\.Message && /return false \&\& /' ./internal/delivery/fanout 'OlderThanAMark'
guard marks-let-go internal/delivery/fanout/feed.go 's/f\.begin\(a, q, w\)\n\t\tf\.marks = nil/f.begin(a, q, w)/' ./internal/delivery/fanout 'OlderThanAMark'
guard superseded-answer internal/delivery/fanout/feed.go 's/err == nil && a\.Epoch < f\.seen/false \&\& a.Epoch < f.seen/' ./internal/delivery/fanout 'Superseded'
guard poll-after-empty internal/delivery/fanout/feed.go 's/if gen != f\.gen \{/if false \&\& gen != f.gen {/' ./internal/delivery/fanout 'FromBeforeNothing'
guard let-go-before-poll internal/delivery/fanout/feed.go 's/(f\.h\.withdraw\(f\.p, m\))/go func() { _ = f.h.clk.Sleep(f.h.ctx, 1e9); $1 }()/' ./internal/delivery/fanout 'NextPoll'
guard clean-anew internal/delivery/fanout/feed.go 's/clear\(f\.dirty\)\n\tf\.anew\(\)/clear(f.dirty)/' ./internal/delivery/fanout 'GivenUp'
guard clean-lets-go internal/delivery/fanout/feed.go 's/f\.h\.release\(f\.p, true\)\n//' ./internal/delivery/fanout 'GivenUp'
guard clean-breaks internal/delivery/fanout/feed.go 's/f\.remove\(s\)\n\t\t\t\ts\.Broken\(\)/f.waiting = append(f.waiting, s)/' ./internal/delivery/fanout 'GivenUp'
guard done-said internal/delivery/fanout/feed.go 's/go f\.part\(\)/f.known = false/' ./internal/delivery/fanout 'SaysThatItIsDone'
guard done-again internal/delivery/fanout/feed.go 's/f\.reader = !ok\n/f.reader = false\n/' ./internal/delivery/fanout 'SaysThatItIsDone'
guard done-other-boot internal/delivery/fanout/feed.go 's/if f\.parted \{/if false \&\& f.parted {/' ./internal/delivery/fanout 'SaysThatItIsDone'
guard place-until-let-go internal/delivery/fanout/feed.go 's/case !f\.reader:\n/default:\n/; s/case !f\.known:\n\t\tf\.wake\(\)\n\tcase !f\.parting:\n\t\tf\.parting = true\n\t\tgo f\.part\(\)\n/\n/' ./internal/delivery/fanout 'BeforeItIsDone'
guard waiting-purge internal/lineserver/hold.go 's/if len\(c\.kept\) > 0 \{/if false {/' ./internal/lineserver 'NeverWritten'
guard flying-cut internal/lineserver/hold.go 's/if cut \{/if false {/' ./internal/lineserver 'UnderWayIsCut'
guard outlasts-the-visit internal/lineserver/lines.go 's/(c\.mu\.Unlock\(\)\n\tif now \{\n\t\t_ = c\.n\.Close\(\)\n)\t\tc\.free\(\)\n\t\}/$1\t}\n\tc.free()/' ./internal/lineserver 'OutlastsTheVisit'
guard left-purge internal/client/session/house.go 's/v\.held\.Drop\(t\)/_ = v.held/' ./internal/client/session 'ReachAllThatWaits'
guard keys-known internal/client/session/withdraw.go 's/return h\.Ledger\.Keys\(\)/return nil/' ./internal/client/session 'AreAnswered'
guard forgotten-by-all internal/client/session/withdraw.go 's/if len\(u\.Nodes\) == 0 \{/if true {/' ./internal/client/session 'AreAnswered'
guard feed-hollows internal/delivery/stream/feed.go 's/e\.Body, e\.Digest, e\.Hollow = nil, "", true/_ = e/' ./internal/delivery/stream 'TestFeeds'
guard feed-marks internal/delivery/stream/feed.go 's/case e\.Offset < d\.marks\[at\(e\)\]:/case false:/' ./internal/delivery/stream 'TestFeeds'
guard feed-cuts internal/delivery/stream/feed.go 's/(w\.e\.Offset < m\.Offset \{\n\t+)ws = append\(ws, w\.end\(\)\)/$1_ = w/' ./internal/delivery/stream 'TestFeeds'
guard feed-cuts-first internal/delivery/stream/feed.go 's/await\(d\.take\(r, first\)\)/d.take(r, first)/' ./internal/delivery/stream 'TestFeeds'
guard feed-many-marks internal/delivery/stream/feed.go 's/(len\(d\.marks\) >= marksMost \{\n\t+)d\.era\+\+/$1_ = d/' ./internal/delivery/stream 'TestFeeds'
guard feed-passed-over internal/delivery/stream/feed.go 's/(d\.es, d\.at, d\.bytes = nil, nil, 0\n\t)d\.era\+\+/$1_ = 0/' ./internal/delivery/stream 'TestFeeds'
guard feed-clean internal/delivery/stream/feed.go 's/(func \(d \*Feed\) anew.*?)ws := d\.drop\(\)/$1var ws []*writing/s' ./internal/delivery/stream 'TestFeeds'
guard feed-superseded internal/delivery/stream/feed.go 's/if r\.Epoch < d\.epoch \{/if false {/' ./internal/delivery/stream 'TestFeeds'
guard feed-done internal/delivery/stream/feed.go 's/\td\.over\(\)\n/\t_ = d.over\n/' ./internal/delivery/stream 'TestFeeds'
guard stream-withdrawn internal/client/follow.go 's/fate == feed\.Withdrawn \|\| //' ./internal/client 'WithdrawnMeanwhile'
guard stream-stale internal/client/follow.go 's/return true, nil\n\t\}\n\tdefer end/fate = feed.Due\n\t}\n\tdefer end/' ./internal/client 'WithdrawnMeanwhile'
guard stream-left-out internal/client/follow.go 's/e\.Key != "" && e\.Hollow \|\| //' ./internal/client 'WithdrawnMeanwhile'
guard stream-cut internal/httpapi/paper.go 's/if p\.gone\.Load\(\) \{/if false {/' ./internal/httpapi 'CutStreams'
guard stream-cut-now internal/httpapi/paper.go 's/(Store\(true\)\n\t)_ = p\.c\.SetWriteDeadline\(time\.Unix\(1, 0\)\)/$1_ = p/' ./internal/httpapi 'CutStreams'
guard read-covered internal/partitionlog/leader/read.go 's/!q\.Marks \|\| o\.st\.Covers\(e\)/!q.Marks/' ./internal/partitionlog/leader 'WholePartition'
guard read-without-marks internal/partitionlog/leader/read.go 's/!q\.Marks \|\| o\.st\.Covers\(e\)/o.st.Covers(e)/' ./internal/partitionlog/leader 'WholePartition'
guard read-noted internal/partitionlog/leader/read.go 's/\} else if !reads \{/} else if false \&\& !reads {/' ./internal/partitionlog/leader 'WholePartition|GivesStreams'
guard read-beside internal/partitionlog/leader/read.go 's/if !q\.Beside \{/if true {/' ./internal/partitionlog/leader 'WholePartition'
guard read-turn internal/partitionlog/leader/read.go 's/t\.n == told && !t\.over/told < ^uint64(0) \&\& !t.over/' ./internal/partitionlog/leader 'WholePartition'
guard read-over internal/partitionlog/leader/read.go 's/t\.n == told && !t\.over/t.n == told/' ./internal/partitionlog/leader 'WholePartition|ThatIsDoneIsGone'
guard read-clean internal/partitionlog/leader/read.go 's/reads, r\.Clean = o\.reads/reads, _ = o.reads/' ./internal/partitionlog/leader 'WholePartition'
guard read-done internal/partitionlog/leader/read.go 's/o\.await\(ctx, line\.Ledger, at\)/o.await(ctx, line.Ledger, min(at, 0))/' ./internal/partitionlog/leader 'WholePartition'
guard yes-awaited internal/client/withdraw.go 's/err == nil && len\(u\.Nodes\) == 0/err == nil/' ./internal/client 'NotHeard'
guard yes-apart internal/client/service.go 's/interest, policy\.Func\[\*Task\]\(s\.forget\), gate/interest, gate, policy.Func[*Task](s.forget)/' $S 'StreamsForget'
guard yes-in-time internal/client/withdraw.go 's/WithTimeout\(ctx, s\.Bounds\.Call\(\)\)/WithTimeout(ctx, 9*s.Bounds.Call())/' ./internal/client 'NotHeard'
guard keys-everywhere internal/client/service.go 's/if err := s\.Desk\.Keys\(\); err != nil/if err := s.Desk.Keys(); false/' ./internal/client 'EveryBuild'
guard streams-let-go internal/node/node.go 's/n\.Visitors\.Feeds\.Rest\(cx\)/_ = cx/' $S 'StreamsForget'
guard lost-answer-reads internal/delivery/fanout/feed.go 's/\t\t\tf\.reader = true\n\t\t\tif f\.deaf/\t\t\tif f.deaf/' ./internal/delivery/fanout 'LateAnswer'
guard lost-follow-reads internal/delivery/fanout/feed.go 's/f\.reader = f\.reader \|\| err != nil/_ = err/' ./internal/delivery/fanout 'LostFollow'
guard shut-while-letting-go internal/delivery/fanout/feed.go 's/if f\.shut > 0 \{/if false {/' ./internal/delivery/fanout 'WhileAllIsLetGo'
guard done-after-let-go internal/delivery/fanout/feed.go 's/if ok \{\n\t\tf\.parting/if ok = true; ok {\n\t\tf.parting/' ./internal/delivery/fanout 'AfterTheYes'
guard void-poll-reads internal/delivery/fanout/feed.go 's/f\.reader = f\.reader \|\| a\.Reader \|\| keyed\(a\.Entries\)/_ = keyed/' ./internal/delivery/fanout 'LateAnswer'
# Withdrawals in whole fleets: each is removed where the product does it, and a router that drops out must show it.
guard fleet-waiting-purge internal/lineserver/hold.go 's/if len\(c\.kept\) > 0 \{/if false {/' $S 'RouterDropsOut'
guard fleet-flying-cut internal/lineserver/hold.go 's/if cut \{/if false {/' $S 'RouterDropsOut'
guard fleet-yes-waits internal/client/session/withdraw.go 's/if len\(u\.Nodes\) == 0 \{/if true {/' $S 'RouterDropsOut'
guard fleet-reader-noted internal/partitionlog/leader/fan.go 's/e\.What == line\.Message && !q\.reads/e.What == line.Message \&\& false \&\& !q.reads/' $S 'RouterDropsOut'
guard fleet-covered internal/partitionlog/leader/fan.go 's/q\.marks && !o\.st\.Covers\(e\)/q.marks/' $S 'RouterDropsOut|YesComes'
guard fleet-readers-kept internal/samza/state/state.go 's/readers:  func\(s \*State, n string, b \[\]byte\) error \{ return put\(s\.Readers, n, b\) \}/readers: func(*State, string, []byte) error { return nil }/' $S 'YesWaits'
guard fleet-marks-kept internal/samza/state/state.go 's/marks:    func\(s \*State, n string, b \[\]byte\) error \{ return put\(s\.Marks, n, b\) \}/marks: func(*State, string, []byte) error { return nil }/; s/(if e\.What == line\.Withdraw \{\n\t+)s\.mark\(e\)/$1_ = e/' $S 'YesWaits|YesComes'
guard fleet-readers-compacted internal/samza/state/state.go 's/s\.dirty\[readers\+k\] = true\n\t\}\n\}/_ = k\n\t}\n}/' $S 'YesWaits.*/.*compacted'
guard fleet-already-noted internal/partitionlog/leader/submit.go 's/if q\.Withdraw && !already \{/if already {\n\t\treturn ruling{taken: state.Taken{Call: q.Call, Offset: mark}, already: true, basis: basis}\n\t}\n\tif q.Withdraw {/' $S 'WithdrawnTwice'
guard fleet-passes internal/samza/state/state.go 's/p\.Upto > a\.Last/false/; ' $S 'Races'
guard fleet-given-up internal/partitionlog/leader/marks.go 's/o\.enter\(n, state\.Reads\{Boot: r\.Boot, GivenUp: true\}\)/_ = n/' $S 'RouterAway'
guard fleet-number-outlives internal/partitionlog/leader/submit.go 's/case already && q\.Call <= a\.Floor:/case false:/; s/\.By\(q\.Visitor, q\.Call\)/.By("?", 0)/' $S 'RouterAway'
guard run-before internal/partitionlog/leader/marks.go 's/return ok && r\.Before == boot && boot != ""/return false && ok && r.Before == boot/' ./internal/partitionlog/leader TestARunThatIsOver
guard reader-told internal/partitionlog/leader/fan.go 's/, Reader: o\.noted\(q\.Node, q\.Boot\), Turn: turn\}/, Turn: turn}/g' ./internal/partitionlog/leader TestReaderIsToldThatItIsOne
guard reader-heeded internal/delivery/fanout/feed.go 's/a\.Reader/false/g' ./internal/delivery/fanout TestAReaderOfNothing
guard turn-told internal/partitionlog/leader/read.go 's/return t\.n, t\.n == told && !t\.over/return t.n, true || told > 0/' ./internal/partitionlog/leader TestARunOfLongAgo
guard turn-of-epoch internal/partitionlog/leader/read.go 's/max\(o\.turn, o\.Rec\.Epoch\*turnsOf\)/o.turn/' ./internal/partitionlog/leader TestTurnsOfEpochs
guard turn-over internal/partitionlog/leader/marks.go 's/over: true/over: false/' ./internal/partitionlog/leader 'ReaderThatIsDone'
guard turn-heeded internal/delivery/fanout/feed.go 's/f\.number = a\.Turn/_ = a/' ./internal/delivery/fanout TestTheTurnIsTold
guard lost-paced internal/delivery/fanout/feed.go 's/if !again \{/if _ = again; err != nil {/' ./internal/delivery/fanout TestTheTurnIsTold
guard still-sealed internal/partitionlog/replica/still.go 's/Epoch: r\.seals\[p\]\}, r\.lines/Epoch: 3}, r.lines/' ./internal/partitionlog/replica TestStillStands
guard still-this-disk internal/partitionlog/replica/still.go 's/q\.Incarnation != r\.incarnation/q.Incarnation == "?"/' ./internal/partitionlog/replica TestStillStands
guard still-halves internal/partitionlog/idle/still.go 's/case !a\.Alike:\n\t\tsaid = Doubt\n//' ./internal/partitionlog/idle TestWhatDiffers
guard still-sooner internal/partitionlog/idle/still.go 's/case g\.wake != nil && due\.Before\(g\.due\):\n\t\tg\.wake\(\)\n//' ./internal/partitionlog/idle TestALineThatIsDueSooner
guard still-asked internal/partitionlog/leader/track.go 's/ok \&\& o\.d\.Still != nil \&\& /false \&\& ok \&\& /' $S TestSilentLinesAre
guard records-unread internal/node/leaders/owners.go 's/if k\.Board\.Record\(p\)\.Holds\(k\.Self\) \{/if false {/' $S TestRecordsAreNotReadAtRest
exit $missed
