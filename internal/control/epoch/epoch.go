// Package epoch orders the claims to a key.
package epoch

import "fmt"

// Epoch is a number and the node that claimed under it.
type Epoch struct {
	N    uint64 `json:"n"`
	Node string `json:"node,omitempty"`
}

// Less orders epochs by number, then node.
func (e Epoch) Less(f Epoch) bool {
	if e.N != f.N {
		return e.N < f.N
	}
	return e.Node < f.Node
}

// Zero tells whether nobody claimed yet.
func (e Epoch) Zero() bool { return e.N == 0 }

// Next is the lowest epoch of a node above e.
func (e Epoch) Next(node string) Epoch { return Epoch{N: e.N + 1, Node: node} }

// String writes an epoch.
func (e Epoch) String() string { return fmt.Sprintf("%d/%s", e.N, e.Node) }
