// Package decommission keeps the recorded orders to empty machines.
//
// An order stands in a control register until its machine serves again, whatever process or disk the
// machine comes back with meanwhile. Invariants: an order that is Done stays Done; while an order stands
// and its machine has not Returned, no replica is placed on the machine. Orders are plain values without
// locks; whoever reads them from the register owns them.
package decommission

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"postjunction/internal/apierror"
)

// Key is the control key of all orders.
const Key = "duty/drain"

// MaxOrders is how many orders are kept. Past it, orders whose machines serve again or are away are
// forgotten, oldest first.
const MaxOrders = 1024

// Order is the order to empty one machine.
type Order struct {
	Node string `json:"node"`
	// BootID is the process that the order last met; only older builds go by it.
	BootID string `json:"boot"`
	// Disk is the disk that the machine had when it was last seen before it was empty; "" in orders of
	// older builds.
	Disk        string    `json:"disk,omitempty"`
	RequestedAt time.Time `json:"asked"`
	// Done reports that no record names the machine, nor will any because of what was decided before
	// the order. It never goes back.
	Done bool `json:"done"`
	// RemainingRecords counts the records that name the machine.
	RemainingRecords int `json:"left"`
	// Departed reports that the emptied machine was absent for the replacement delay. Returned reports
	// that it came back afterwards and serves.
	Departed bool `json:"away,omitempty"`
	Returned bool `json:"back,omitempty"`
}

// Orders holds all orders by node.
type Orders map[string]Order

// Parse reads the orders; a register that was never written holds none. Orders that can't be read are an
// error with code DiskDamaged, never an empty set.
func Parse(data []byte) (Orders, error) {
	orders := Orders{}
	if len(data) == 0 {
		return orders, nil
	}
	if err := json.Unmarshal(data, &orders); err != nil {
		return nil, apierror.Wrap(apierror.DiskDamaged, err, "read the list of drains")
	}
	return orders, nil
}

// Marshal returns the orders as JSON, which Parse reads.
func (o Orders) Marshal() []byte {
	data, _ := json.Marshal(o) // fails only on times past the year 9999
	return data
}

// Excludes reports whether a machine is to be empty: nothing is placed on it, and it isn't waited for.
func (o Orders) Excludes(node string) bool {
	order, ok := o[node]
	return ok && !order.Returned
}

// Add records a new order. It returns false, and records nothing, where there are as many orders as are
// kept and all of them are still needed.
func (o Orders) Add(added Order) bool {
	o[added.Node] = added
	if len(o) <= MaxOrders {
		return true
	}
	var unneeded []Order
	for _, order := range o {
		if order.Returned || order.Departed {
			unneeded = append(unneeded, order)
		}
	}
	if len(unneeded) == 0 {
		delete(o, added.Node)
		return false
	}
	oldest := slices.MinFunc(unneeded, func(a, b Order) int { return a.RequestedAt.Compare(b.RequestedAt) })
	delete(o, oldest.Node)
	return true
}

// Sorted returns the orders by node.
func (o Orders) Sorted() []Order {
	orders := make([]Order, 0, len(o))
	for _, order := range o {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Node, b.Node) })
	return orders
}
