package decommission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

func TestParse_OrdersThatCantBeReadAreAnError(t *testing.T) {
	none, err := Parse(nil)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
	_, err = Parse([]byte(`{"s1":{"node":`))
	assert.Assert(t, apierror.HasCode(err, apierror.DiskDamaged), "%v", err)
	orders := Orders{"s1": {Node: "s1", Disk: "d", Done: true}}
	reparsed, err := Parse(orders.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, reparsed, orders)
}

// An order of an older build, which identified machines by their process only, is in effect like
// any other.
func TestParse_OrdersOfOlderBuilds(t *testing.T) {
	orders, err := Parse([]byte(`{"s1":{"node":"s1","boot":"b","asked":"2026-01-01T00:00:00Z","done":true,"left":0}}`))
	assert.NilError(t, err)
	assert.Assert(t, orders.Excludes("s1") && orders["s1"].Done && orders["s1"].Disk == "")
}

func TestAdd_KeepsAtMostMaxOrders(t *testing.T) {
	orders := Orders{}
	for i := range MaxOrders {
		assert.Assert(t, orders.Add(Order{Node: fmt.Sprint("s", i), RequestedAt: time.Unix(int64(i), 0)}))
	}
	assert.Assert(t, !orders.Add(Order{Node: "one too many"}), "orders in progress are never removed")
	assert.Equal(t, len(orders), MaxOrders)
	for _, i := range []int{7, 5} {
		order := orders[fmt.Sprint("s", i)]
		order.Done, order.Departed = true, true
		orders[order.Node] = order
	}
	assert.Assert(t, orders.Add(Order{Node: "one more"}))
	assert.Equal(t, len(orders), MaxOrders)
	assert.Assert(t, !orders.Excludes("s5") && orders.Excludes("s7"), "the oldest is removed first")
}
