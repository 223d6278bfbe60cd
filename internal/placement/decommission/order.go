// Package decommission keeps the recorded orders to empty machines.
//
// An order stands in a control register until its machine serves again, whatever process or disk the machine comes back
// with meanwhile. Invariants: an order that is Done stays Done; while an order stands and its machine is not Back, no copy
// is placed on the machine.
package decommission

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"postjunction/internal/apierror"
)

// Key is the control key of all drains.
const Key = "duty/drain"

// MaxOrders is how many orders are kept. Past it, orders whose machines serve again or are away are forgotten, oldest first.
const MaxOrders = 1024

// Order is the order to empty one machine.
type Order struct {
	Node string `json:"node"`
	// BootID is the process that the order last met; only older builds go by it.
	BootID string `json:"boot"`
	// Disk is the disk that the machine had when it was last seen before it was empty; "" in orders of older builds.
	Disk        string    `json:"disk,omitempty"`
	RequestedAt time.Time `json:"asked"`
	// Done tells that no record names the machine, nor will any because of what was decided before the order. It never goes back.
	Done bool `json:"done"`
	// RemainingRecords counts the records that name the machine.
	RemainingRecords int `json:"left"`
	// WentAway tells that the emptied machine was gone for the keeping time, Back that it came again afterwards and serves.
	WentAway bool `json:"away,omitempty"`
	Returned bool `json:"back,omitempty"`
}

// Orders holds all orders by node.
type Orders map[string]Order

// Parse reads a list; a register that was never written holds none. A list that can't be read is an error, never an empty one.
func Parse(b []byte) (Orders, error) {
	l := Orders{}
	if len(b) == 0 {
		return l, nil
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, apierror.Wrap(apierror.DiskDamaged, err, "read the list of drains")
	}
	return l, nil
}

// Marshal writes a list.
func (l Orders) Marshal() []byte {
	b, _ := json.Marshal(l)
	return b
}

// Excludes tells whether a machine is to be empty: nothing is placed on it, and it isn't waited for.
func (l Orders) Excludes(node string) bool {
	d, ok := l[node]
	return ok && !d.Returned
}

// Add notes a new order. It reports false where the list is full of orders that are still needed.
func (l Orders) Add(d Order) bool {
	l[d.Node] = d
	if len(l) <= MaxOrders {
		return true
	}
	var old []Order
	for _, x := range l {
		if x.Returned || x.WentAway {
			old = append(old, x)
		}
	}
	if len(old) == 0 {
		delete(l, d.Node)
		return false
	}
	delete(l, slices.MinFunc(old, func(a, b Order) int { return a.RequestedAt.Compare(b.RequestedAt) }).Node)
	return true
}

// Sorted gives the orders by node.
func (l Orders) Sorted() []Order {
	ds := make([]Order, 0, len(l))
	for _, d := range l {
		ds = append(ds, d)
	}
	slices.SortFunc(ds, func(a, b Order) int { return cmp.Compare(a.Node, b.Node) })
	return ds
}
