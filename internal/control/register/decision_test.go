package register

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/quorum"
	"postjunction/internal/voters"
)

// A higher copy on one disk may or may not be decided. Copies below it must not count towards a
// majority, since a read would then return a value that may be outdated.
func TestHighestCopiesExcludesLowerCopies(t *testing.T) {
	copyOf := func(number, version uint64) quorum.Result[voters.Voter, *acceptor.PeekResponse] {
		slot := acceptor.Slot{
			Accepted: epoch.Epoch{Number: number, Node: "c1"},
			Value:    acceptor.Value{Version: version},
		}
		return quorum.Result[voters.Voter, *acceptor.PeekResponse]{
			Value: &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{"k": slot}},
		}
	}
	for _, test := range []struct {
		name   string
		copies peekResponses
		want   int
	}{
		{"all identical", peekResponses{copyOf(1, 1), copyOf(1, 1), copyOf(1, 1)}, 3},
		{"a higher epoch on one disk", peekResponses{copyOf(1, 1), copyOf(2, 1), copyOf(1, 1)}, 1},
		{"a higher version on one disk", peekResponses{copyOf(1, 1), copyOf(1, 1), copyOf(1, 2)}, 1},
		{"one disk lags", peekResponses{copyOf(1, 1), copyOf(2, 2), copyOf(2, 2)}, 2},
		{"none", nil, 0},
	} {
		assert.Equal(t, len(highestCopies(test.copies, "k")), test.want, test.name)
	}
}
