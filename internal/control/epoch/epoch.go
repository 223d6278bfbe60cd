// Package epoch orders the claims to a key. An epoch is a ballot number in the sense of Paxos, and
// a fencing token for the operations under it. Epochs of different nodes never compare equal. A
// node claims a key with an epoch above all that it has seen. The package has only values, no
// state.
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

// IsZero reports whether e is the zero Epoch, which is that of no claim.
func (e Epoch) IsZero() bool { return e.Number == 0 }

// Next returns the epoch above e for a claim of a node.
func (e Epoch) Next(node string) Epoch { return Epoch{Number: e.Number + 1, Node: node} }

// String returns the epoch as number/node.
func (e Epoch) String() string { return fmt.Sprintf("%d/%s", e.Number, e.Node) }
