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
	l := List{"s1": {Node: "s1", Disk: "d", Done: true}}
	again, err := Parse(l.Pack())
	assert.NilError(t, err)
	assert.DeepEqual(t, again, l)
}

// An order of a build that knew only processes stands like any other.
func TestAnOlderListIsRead(t *testing.T) {
	l, err := Parse([]byte(`{"s1":{"node":"s1","boot":"b","asked":"2026-01-01T00:00:00Z","done":true,"left":0}}`))
	assert.NilError(t, err)
	assert.Assert(t, l.Out("s1") && l["s1"].Done && l["s1"].Disk == "")
}

func TestAListIsBounded(t *testing.T) {
	l := List{}
	for n := range ListMost {
		assert.Assert(t, l.Add(Drain{Node: fmt.Sprint("s", n), Asked: time.Unix(int64(n), 0)}))
	}
	assert.Assert(t, !l.Add(Drain{Node: "one too many"}), "orders that are under way are never forgotten")
	assert.Equal(t, len(l), ListMost)
	for _, n := range []int{7, 5} {
		d := l[fmt.Sprint("s", n)]
		d.Done, d.Away = true, true
		l[d.Node] = d
	}
	assert.Assert(t, l.Add(Drain{Node: "one more"}))
	assert.Equal(t, len(l), ListMost)
	assert.Assert(t, !l.Out("s5") && l.Out("s7"), "the oldest is forgotten first")
}
