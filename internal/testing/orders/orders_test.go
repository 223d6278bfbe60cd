package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start  = time.Unix(0, 0)
	orderA = Order{0, 2, "a"}
	orderB = Order{2, 3, "b"}
	orderC = Order{2, 3, "c"}
)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

type try struct {
	read    bool
	order   Order
	outcome Outcome
	from    int
	to      int
}

func linearizable(tries ...try) bool {
	h := New(start)
	for _, attempt := range tries {
		if attempt.read {
			h.Read(attempt.order, at(attempt.from), at(attempt.to))
			continue
		}
		h.Tried(attempt.order, attempt.outcome, at(attempt.from), at(attempt.to))
	}
	return h.Linearizable()
}

func TestWhatOperatorsMayBeAnswered(t *testing.T) {
	ackA, ackB, refusedC := try{order: orderA, outcome: Acknowledged, from: 0, to: 1},
		try{order: orderB, outcome: Acknowledged, from: 2, to: 3}, try{order: orderC, outcome: Refused, from: 4, to: 5}
	readA, readB := try{read: true, order: orderA, from: 6, to: 7}, try{read: true, order: orderB, from: 6, to: 7}
	againA := try{order: orderA, outcome: Acknowledged, from: 4, to: 5}
	lostA := try{order: orderA, outcome: Unclear, from: 0, to: 1}
	assert.Assert(t, linearizable(ackA, ackB, refusedC, readB), "one of two wins")
	assert.Assert(t, linearizable(ackA, ackB, againA, readB),
		"an accepted order is acknowledged again, and changes nothing")
	assert.Assert(t, linearizable(lostA, ackB, readB), "an order without a clear answer was accepted")
	assert.Assert(t, linearizable(lostA, try{read: true, from: 6, to: 7}),
		"an order without a clear answer was not accepted")
	assert.Assert(t, linearizable(lostA, try{order: orderA, outcome: Acknowledged, from: 8, to: 9},
		try{read: true, order: orderA, from: 2, to: 3}), "the first try was accepted, a later one acknowledged")

	assert.Assert(t, !linearizable(ackA, ackB, readA), "an older configuration was read")
	assert.Assert(t, !linearizable(ackA, ackB, try{order: orderC, outcome: Acknowledged, from: 4, to: 5}),
		"two orders on one base were acknowledged")
	assert.Assert(t, !linearizable(ackA, ackB, try{order: orderA, outcome: Refused, from: 4, to: 5}),
		"an accepted order was refused when it was sent again")
	assert.Assert(t, !linearizable(ackA, refusedC, try{read: true, order: orderC, from: 6, to: 7}),
		"a refused order is in effect")
	assert.Assert(t, !linearizable(ackA, try{order: orderC, outcome: Refused, from: 2, to: 3},
		try{order: orderC, outcome: Acknowledged, from: 4, to: 5}), "a refused order was accepted later")
	assert.Assert(t, !linearizable(lostA, try{order: orderA, outcome: Refused, from: 2, to: 3}, readA),
		"a refused order took effect through a slow first try")
	assert.Assert(t, !linearizable(ackA, try{read: true, from: 6, to: 7}), "an acknowledged order is lost")
}
