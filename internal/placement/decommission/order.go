// Package decommission defines the recorded orders to empty (decommission) machines.
//
// An order remains in effect until its machine serves again, with whatever process or disk the
// machine returns in the meantime. All orders are in one control register.
//
// Invariants: an order that is Done remains Done. While a machine has an order and has not
// Returned, no replica is placed on it.
//
// Orders are plain values without locks. The reader of the register owns the values that it has
// read.
package decommission

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"postjunction/internal/apierror"
)

// Key is the control key of the register with all orders.
const Key = "duty/drain"

// MaxOrders is the maximum number of recorded orders. Beyond it, orders whose machines serve again
// or have departed are removed, oldest first.
const MaxOrders = 1024

// Order is the order to empty one machine.
type Order struct {
	Node string `json:"node"`
	// BootID is the process that was last seen on the machine before the order was done. Only older
	// builds use it.
	BootID string `json:"boot"`
	// Disk is the incarnation of the disk that was last seen on the machine before the order was
	// done. It is "" in orders of older builds.
	Disk        string    `json:"disk,omitempty"`
	RequestedAt time.Time `json:"asked"`
	// Done says that no record names the machine, and that no decision made before the order can
	// make one name it. It is never reset.
	Done bool `json:"done"`
	// RemainingRecords counts the records that name the machine.
	RemainingRecords int `json:"left"`
	// Departed says that the emptied machine was absent for the replacement delay. Returned says
	// that the machine serves again, after it had departed or with another disk.
	Departed bool `json:"away,omitempty"`
	Returned bool `json:"back,omitempty"`
}

// Orders has all orders by node.
type Orders map[string]Order

// Parse decodes the orders. Empty data, of a register that was never written, has no orders. Parse
// returns DiskDamaged for orders that can't be decoded, and never an empty set.
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

// Excludes reports whether a machine is decommissioned: no replica is placed on it, and replicas on
// it are replaced without a wait if it is missing.
func (o Orders) Excludes(node string) bool {
	order, ok := o[node]
	return ok && !order.Returned
}

// Add records a new order. It returns false, and records nothing, if there are MaxOrders orders
// already and all of them are still needed.
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

// Sorted returns the orders sorted by node.
func (o Orders) Sorted() []Order {
	orders := make([]Order, 0, len(o))
	for _, order := range o {
		orders = append(orders, order)
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Node, b.Node) })
	return orders
}
