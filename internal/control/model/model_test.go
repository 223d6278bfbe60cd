// Package model explores every run of the control registers' pure core (internal/control/acceptor,
// slot.go) within small bounds: claims, changes, quorum reads, one replacement of a voter, one
// wiped disk. Messages may be late, repeated, reordered or lost, and every response may be lost.
//
// What must hold in every state: a version has one decided value at most; a proposer that has
// claimed the key, and a quorum read, has at least the version that was decided before it began. It
// is a search over values in one goroutine, and holds all states that it has seen in memory.
package model

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// bounds say what may happen in an exploration.
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

func (e *exploration) add(s state) {
	if _, ok := e.seen[s]; !ok {
		e.seen[s] = struct{}{}
		e.pending = append(e.pending, s)
	}
}

func (e *exploration) violate(format string, args ...any) {
	if e.violation == "" {
		e.violation = fmt.Sprintf(format, args...)
	}
}

// decide notes that a majority has accepted a value: no other value may ever be decided under the
// same version.
func (e *exploration) decide(s *state, version, value int8) {
	if before := s.decided[version]; before != 0 && before != value {
		e.violate("version %d was decided as %s and as %s", version, changeIDs[before], changeIDs[value])
	}
	s.decided[version] = value
	s.maxDecided = max(s.maxDecided, version)
}

// step adds all states that follow a state.
func (e *exploration) step(s state) {
	for i := range e.attempts {
		e.propose(s, i)
		for voter := range voterCount {
			e.promise(s, i, voter)
			e.reaccept(s, i, voter)
			e.acceptChange(s, i, voter)
		}
	}
	if e.read {
		e.quorumRead(s)
	}
	if e.replace {
		e.reconfigure(s)
	}
}

// explore goes on until nothing new is seen, or a violation is.
func explore(b bounds) *exploration {
	e := &exploration{bounds: b, seen: map[state]struct{}{}}
	var initial state
	for voter := range voterCount {
		if contains(members[1], voter) {
			initial.disks[voter].voterSet = 1
		}
	}
	e.add(initial)
	for len(e.pending) > 0 && e.violation == "" {
		last := len(e.pending) - 1
		s := e.pending[last]
		e.pending = e.pending[:last]
		e.step(s)
	}
	return e
}

func TestEveryRunWithinSmallBounds(t *testing.T) {
	if raced {
		t.Skip("runs without the race detector: it has one goroutine an exploration, and millions of states")
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
			e := explore(test.bounds)
			t.Logf("%d states", len(e.seen))
			assert.Equal(t, e.violation, "")
			assert.Assert(t, len(e.seen) >= test.minStates, "void: %d states", len(e.seen))
		})
	}
}
