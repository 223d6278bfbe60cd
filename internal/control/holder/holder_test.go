package holder

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/epoch"
	"postjunction/internal/control/roster"
	"postjunction/internal/control/voter"
	"postjunction/internal/gather"
)

// Only copies alike to the highest one count: a higher copy on one disk may or may not be decided, and what lies below it says nothing.
func TestOnlyTheHighestCopiesCountAsAlike(t *testing.T) {
	at := func(n, writes uint64) gather.Answer[roster.Seat, *voter.PeekAnswer] {
		return gather.Answer[roster.Seat, *voter.PeekAnswer]{A: &voter.PeekAnswer{Slots: map[string]voter.Slot{
			"k": {Accepted: epoch.Epoch{N: n, Node: "c1"}, Value: voter.Value{Writes: writes}},
		}}}
	}
	for _, x := range []struct {
		name string
		as   peeks
		want int
	}{
		{"all alike", peeks{at(1, 1), at(1, 1), at(1, 1)}, 3},
		{"a higher epoch on one disk", peeks{at(1, 1), at(2, 1), at(1, 1)}, 1},
		{"more writes on one disk", peeks{at(1, 1), at(1, 1), at(1, 2)}, 1},
		{"one disk lags", peeks{at(1, 1), at(2, 2), at(2, 2)}, 2},
		{"none", nil, 0},
	} {
		assert.Equal(t, len(alike(x.as, "k")), x.want, x.name)
	}
}
