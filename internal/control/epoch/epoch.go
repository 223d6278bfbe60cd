// Package epoch orders the claims to a key.
package epoch

import "fmt"

// Epoch is a number and the node that claimed under it.
type Epoch struct {
	Number uint64 `json:"n"`
	Node   string `json:"node,omitempty"`
}

// Less orders epochs by number, then node.
func (e Epoch) Less(f Epoch) bool {
	if e.Number != f.Number {
		return e.Number < f.Number
	}
	return e.Node < f.Node
}

// IsZero tells whether nobody claimed yet.
func (e Epoch) IsZero() bool { return e.Number == 0 }

// Next is the lowest epoch of a node above e.
func (e Epoch) Next(node string) Epoch { return Epoch{Number: e.Number + 1, Node: node} }

// String writes an epoch.
func (e Epoch) String() string { return fmt.Sprintf("%d/%s", e.Number, e.Node) }
