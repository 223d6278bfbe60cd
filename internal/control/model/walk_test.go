// Package model walks through every run of the control registers' pure core within small bounds: claims, changes, quorum
// reads, one replacement of a voter, one wiped disk. Messages may be late, repeated, reordered or lost, and every answer
// may be lost.
package model

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
)

const (
	voterCount = 4 // 0 to 2 are the first roster; 3 takes the seat of 2
	attempts   = 3
	reformers  = 2
	wiped      = 2
	writesTop  = attempts + 1
)

// members are the voters of each roster as bits; roster 0 is none.
var members = [3]uint8{0, 0b0111, 0b1011}

// seats gives the roster's own rules their sizes.
var seats = voters.Set{Voters: make([]voters.Voter, 3)}

func majority(mask uint8) bool { return bits.OnesCount8(mask) >= seats.Majority() }

// slot is a voter.Slot in numbers: epochs and values are those of the attempt with that number, counted from 1.
type slot struct{ promised, accepted, writes, value int8 }

func (s slot) full() acceptor.Slot {
	return acceptor.Slot{Promised: epochOf(s.promised), Accepted: epochOf(s.accepted), Value: acceptor.Value{Version: uint64(s.writes), ChangeID: name(s.value)}}
}

func epochOf(n int8) epoch.Epoch { return epoch.Epoch{Number: uint64(n)} }

var names = [attempts + 1]string{"", "first", "second", "third"}

func name(n int8) string { return names[n] }

func small(s acceptor.Slot) slot {
	return slot{int8(s.Promised.Number), int8(s.Accepted.Number), int8(s.Value.Version), int8(slices.Index(names[:], s.Value.ChangeID))}
}

type disk struct {
	roster int8
	sealed bool
	lost   bool
	slot   slot
}

// phase is how far an attempt to claim and change a key is.
type phase int8

const (
	idle phase = iota
	promising
	rewriting
	changing
)

// attempt is one claim of a key with one change after it. Its messages stay on the way for ever.
type attempt struct {
	phase    phase
	roster   int8
	promises uint8
	top      slot
	tookRewrite,
	tookChange uint8 // voters that accepted; the claimant hears of it sometime, or never
	sentRewrite bool
	sentChange  bool
	before      int8 // the highest decided write when the attempt began
}

// reader is one quorum read without a claim.
type reader struct {
	began    bool
	ended    bool
	roster   int8
	answered uint8
	slots    [voterCount]slot
	before   int8
}

type world struct {
	disks    [voterCount]disk
	tries    [attempts]attempt
	reader   reader
	copied   [reformers]bool
	copies   [reformers]slot
	sealed   uint8
	decided  [writesTop + 1]int8
	greatest int8
}

// bounds say what may happen in a walk.
type bounds struct {
	attempts int
	replace  bool
	read     bool
}

type walk struct {
	bounds
	seen   map[world]struct{}
	next   []world
	broken string
}

func (k *walk) add(w world) {
	if _, ok := k.seen[w]; !ok {
		k.seen[w] = struct{}{}
		k.next = append(k.next, w)
	}
}

func (k *walk) breach(f string, a ...any) {
	if k.broken == "" {
		k.broken = fmt.Sprintf(f, a...)
	}
}

// decide notes that a majority has accepted a value: no other value may ever be decided as the same write.
func (k *walk) decide(w *world, writes, value int8) {
	if was := w.decided[writes]; was != 0 && was != value {
		k.breach("write %d was decided as %s and as %s", writes, name(was), name(value))
	}
	w.decided[writes] = value
	w.greatest = max(w.greatest, writes)
}

func (w *world) open(v int, r int8) bool {
	d := w.disks[v]
	return d.roster == r && !d.sealed && !d.lost && members[r]>>v&1 == 1
}

func (k *walk) step(w world) {
	for i := range k.attempts {
		k.claim(w, i)
		for v := range voterCount {
			k.promise(w, i, v)
			k.rewrite(w, i, v)
			k.change(w, i, v)
		}
	}
	if k.read {
		k.look(w)
	}
	if k.replace {
		k.reform(w)
	}
}

// claim has the claimant go on by itself.
func (k *walk) claim(w world, i int) {
	t := w.tries[i]
	switch {
	case t.phase == idle:
		for r := int8(1); r <= 2; r++ {
			if r == 2 && !slices.ContainsFunc(w.disks[:], func(d disk) bool { return d.roster == 2 }) {
				continue
			}
			n := w
			n.tries[i] = attempt{phase: promising, roster: r, before: w.greatest}
			k.add(n)
		}
	case t.phase == promising && majority(t.promises):
		n := w
		if t.top.accepted == 0 {
			k.hold(&n, i)
		} else {
			n.tries[i].phase, n.tries[i].sentRewrite = rewriting, true
		}
		k.add(n)
	case t.phase == rewriting && majority(t.tookRewrite):
		n := w
		k.hold(&n, i)
		k.add(n)
	}
}

// hold has the claimant take the key for its own and change it: what it holds must not be older than what was decided before.
func (k *walk) hold(w *world, i int) {
	t := &w.tries[i]
	if t.top.writes < t.before {
		k.breach("attempt %d holds write %d, and write %d was decided before it began", i, t.top.writes, t.before)
	}
	t.phase, t.sentChange = changing, true
}

func (k *walk) promise(w world, i, v int) {
	t := w.tries[i]
	if t.phase == idle || !w.open(v, t.roster) {
		return
	}
	s, ok := w.disks[v].slot.full().Promise(epochOf(int8(i + 1)))
	n := w
	n.disks[v].slot = small(s)
	k.add(n)
	if ok && t.phase == promising {
		n.tries[i].promises |= 1 << v
		n.tries[i].top = small(acceptor.Highest([]acceptor.Slot{t.top.full(), s}))
		k.add(n)
	}
}

func (k *walk) rewrite(w world, i, v int) {
	t := w.tries[i]
	if !t.sentRewrite || !w.open(v, t.roster) {
		return
	}
	s, ok := w.disks[v].slot.full().Accept(epochOf(int8(i+1)), t.top.full().Value)
	if !ok {
		return
	}
	n := w
	n.disks[v].slot = small(s)
	n.tries[i].tookRewrite |= 1 << v
	if majority(n.tries[i].tookRewrite) {
		k.decide(&n, t.top.writes, t.top.value)
	}
	k.add(n)
}

func (k *walk) change(w world, i, v int) {
	t := w.tries[i]
	if !t.sentChange || !w.open(v, t.roster) {
		return
	}
	value := slot{writes: t.top.writes + 1, value: int8(i + 1)}
	s, ok := w.disks[v].slot.full().Accept(epochOf(int8(i+1)), value.full().Value)
	if !ok {
		return
	}
	n := w
	n.disks[v].slot = small(s)
	n.tries[i].tookChange |= 1 << v
	if majority(n.tries[i].tookChange) {
		k.decide(&n, value.writes, value.value)
	}
	k.add(n)
}

// look has the reader ask one voter more; it is sure where a majority holds the highest copy that it was told. What it gives
// counts as decided: nothing else may be decided in its place, and nobody may hold less afterwards.
func (k *walk) look(w world) {
	if !w.reader.began {
		n := w
		n.reader = reader{began: true, roster: 1, before: w.greatest}
		k.add(n)
		return
	}
	if w.reader.ended {
		return
	}
	for v := range voterCount {
		if w.reader.answered>>v&1 == 1 || !w.open(v, w.reader.roster) {
			continue
		}
		n := w
		n.reader.answered |= 1 << v
		n.reader.slots[v] = w.disks[v].slot
		var told []acceptor.Slot
		for u := range voterCount {
			if n.reader.answered>>u&1 == 1 {
				told = append(told, n.reader.slots[u].full())
			}
		}
		if len(acceptor.HoldingHighest(told)) >= seats.Majority() {
			top := small(acceptor.Highest(told))
			if top.writes < w.reader.before {
				k.breach("a quorum read gave write %d, and write %d was decided before it began", top.writes, w.reader.before)
			}
			if top.writes > 0 {
				k.decide(&n, top.writes, top.value)
			}
			n.reader = reader{began: true, ended: true}
		}
		k.add(n)
	}
}

// reform replaces the wiped voter: it seals a majority, copies from enough sealed voters, opens the next roster.
func (k *walk) reform(w world) {
	if !w.disks[wiped].lost {
		n := w
		n.disks[wiped] = disk{lost: true}
		k.add(n)
	}
	for v := range voterCount {
		if d := w.disks[v]; d.roster == 1 && !d.sealed && !d.lost {
			n := w
			n.disks[v].sealed = true
			n.sealed |= 1 << v
			k.add(n)
		}
	}
	if !majority(w.sealed) {
		return
	}
	for f := range reformers {
		if !w.copied[f] {
			k.copy(w, f)
			continue
		}
		for v := range voterCount {
			k.openDisk(w, v, w.copies[f])
		}
	}
	for from := range voterCount {
		if w.disks[from].roster == 2 {
			for v := range voterCount {
				k.openDisk(w, v, w.disks[from].slot)
			}
		}
	}
}

func (k *walk) copy(w world, f int) {
	for set := range uint8(1 << voterCount) {
		if bits.OnesCount8(set) < seats.SealQuorum() {
			continue
		}
		var copies []acceptor.Slot
		whole := true
		for v := range voterCount {
			if set>>v&1 == 1 {
				d := w.disks[v]
				whole = whole && d.roster == 1 && d.sealed && !d.lost
				copies = append(copies, d.slot.full())
			}
		}
		if whole {
			n := w
			n.copied[f], n.copies[f] = true, small(acceptor.Merge(copies))
			k.add(n)
		}
	}
}

func (k *walk) openDisk(w world, v int, s slot) {
	if d := w.disks[v]; d.roster == 2 || d.lost || members[2]>>v&1 == 0 {
		return
	}
	n := w
	n.disks[v] = disk{roster: 2, slot: small(acceptor.Merge([]acceptor.Slot{s.full()}))}
	k.add(n)
}

// run walks until nothing new is seen, or a breach is.
func run(b bounds) *walk {
	k := &walk{bounds: b, seen: map[world]struct{}{}}
	var w world
	for v := range voterCount {
		if members[1]>>v&1 == 1 {
			w.disks[v].roster = 1
		}
	}
	k.add(w)
	for len(k.next) > 0 && k.broken == "" {
		w := k.next[len(k.next)-1]
		k.next = k.next[:len(k.next)-1]
		k.step(w)
	}
	return k
}

func TestEveryRunWithinSmallBounds(t *testing.T) {
	if raced {
		t.Skip("runs without the race detector: it has one goroutine a walk, and millions of states")
	}
	for _, x := range []struct {
		name string
		bounds
		least int
	}{
		{"two claimants and a quorum read", bounds{attempts: 2, read: true}, 1_000_000},
		{"two claimants, a wiped disk and its replacement", bounds{attempts: 2, replace: true}, 3_000_000},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			k := run(x.bounds)
			t.Logf("%d states", len(k.seen))
			assert.Equal(t, k.broken, "")
			assert.Assert(t, len(k.seen) >= x.least, "void: %d states", len(k.seen))
		})
	}
}
