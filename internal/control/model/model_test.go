// Package model is a model checker for the pure core of the control registers
// (internal/control/acceptor, slot.go). It explores every run within small bounds: claims, changes,
// quorum reads, one replacement of a voter, one wiped disk. Messages may be delayed, duplicated,
// reordered or lost, and every response may be lost.
//
// Invariants in every state: a version has at most one decided value. A proposer that has claimed
// the key has at least the version that was decided before it began, and so does a quorum read.
//
// The search runs in one goroutine and has all states that it has seen in memory.
package model

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// bounds limits what may happen in an exploration.
type bounds struct {
	attempts int
	replace  bool
	read     bool
}

type exploration struct {
	bounds
	seen      map[state]struct{}
	pending   []state
	violation string
}

func (e *exploration) add(added state) {
	if _, ok := e.seen[added]; !ok {
		e.seen[added] = struct{}{}
		e.pending = append(e.pending, added)
	}
}

func (e *exploration) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

// decide records that a majority has accepted a value. It is a violation if another value was
// decided under the same version.
func (e *exploration) decide(next *state, version, value int8) {
	if previous := next.decided[version]; previous != 0 && previous != value {
		e.violate("version %d was decided as %s and as %s", version, changeIDs[previous], changeIDs[value])
	}
	next.decided[version] = value
	next.maxDecided = max(next.maxDecided, version)
}

// step adds all states that follow current.
func (e *exploration) step(current state) {
	for index := range e.attempts {
		e.propose(current, index)
		for voter := range voterCount {
			e.promise(current, index, voter)
			e.reaccept(current, index, voter)
			e.acceptChange(current, index, voter)
		}
	}
	if e.read {
		e.quorumRead(current)
	}
	if e.replace {
		e.reconfigure(current)
	}
}

// explore searches until it finds no new state, or a violation.
func explore(limits bounds) *exploration {
	search := &exploration{bounds: limits, seen: map[state]struct{}{}}
	var initial state
	for voter := range voterCount {
		if contains(members[1], voter) {
			initial.disks[voter].voterSet = 1
		}
	}
	search.add(initial)
	for len(search.pending) > 0 && search.violation == "" {
		last := len(search.pending) - 1
		current := search.pending[last]
		search.pending = search.pending[:last]
		search.step(current)
	}
	return search
}

func TestEveryRunWithinSmallBounds(t *testing.T) {
	if raceEnabled {
		t.Skip("runs without the race detector: each exploration has one goroutine and millions of states")
	}
	for _, test := range []struct {
		name string
		bounds
		minStates int
	}{
		{"two claimants and a quorum read", bounds{attempts: 2, read: true}, 1_000_000},
		{"two claimants, a wiped disk and its replacement", bounds{attempts: 2, replace: true}, 3_000_000},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			search := explore(test.bounds)
			t.Logf("%d states", len(search.seen))
			assert.Equal(t, search.violation, "")
			assert.Assert(t, len(search.seen) >= test.minStates, "void: %d states", len(search.seen))
		})
	}
}
