// Package epoch orders the claims to a key: an epoch is a ballot number in the sense of Paxos, and
// a fencing token for what is done under it. Epochs of different nodes never compare equal, and a
// node claims above all epochs that it has seen. The package has only values, no state.
package epoch

import "fmt"

// Epoch is the number of a claim and the node that made it. The zero Epoch is below all claims.
type Epoch struct {
	Number uint64 `json:"n"`
	Node   string `json:"node,omitempty"`
}

// Less reports whether e is below other: by number, then by node.
func (e Epoch) Less(other Epoch) bool {
	if e.Number != other.Number {
		return e.Number < other.Number
	}
	return e.Node < other.Node
}

// IsZero reports whether e is no claim.
func (e Epoch) IsZero() bool { return e.Number == 0 }

// Next returns the epoch for a claim of a node above e.
func (e Epoch) Next(node string) Epoch { return Epoch{Number: e.Number + 1, Node: node} }

// String returns the epoch as number/node.
func (e Epoch) String() string { return fmt.Sprintf("%d/%s", e.Number, e.Node) }
