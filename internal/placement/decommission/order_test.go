package decommission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func TestAListThatCantBeReadIsNoEmptyList(t *testing.T) {
	none, err := Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
	_, err = Parse([]byte(`{"s1":{"node":`))
	assert.Assert(t, apierror.HasCode(err, apierror.DiskDamaged), "%v", err)
	l := Orders{"s1": {Node: "s1", Disk: "d", Done: true}}
	again, err := Parse(l.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, again, l)
}

// An order of a build that knew only processes stands like any other.
func TestAnOlderListIsRead(t *testing.T) {
	l, err := Parse([]byte(`{"s1":{"node":"s1","boot":"b","asked":"2026-01-01T00:00:00Z","done":true,"left":0}}`))
	assert.NilError(t, err)
	assert.Assert(t, l.Excludes("s1") && l["s1"].Done && l["s1"].Disk == "")
}

func TestAListIsBounded(t *testing.T) {
	l := Orders{}
	for n := range MaxOrders {
		assert.Assert(t, l.Add(Order{Node: fmt.Sprint("s", n), RequestedAt: time.Unix(int64(n), 0)}))
	}
	assert.Assert(t, !l.Add(Order{Node: "one too many"}), "orders that are under way are never forgotten")
	assert.Equal(t, len(l), MaxOrders)
	for _, n := range []int{7, 5} {
		d := l[fmt.Sprint("s", n)]
		d.Done, d.WentAway = true, true
		l[d.Node] = d
	}
	assert.Assert(t, l.Add(Order{Node: "one more"}))
	assert.Equal(t, len(l), MaxOrders)
	assert.Assert(t, !l.Excludes("s5") && l.Excludes("s7"), "the oldest is forgotten first")
}
