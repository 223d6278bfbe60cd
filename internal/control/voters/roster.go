// Package voters names the disks whose majority decides control keys.
package voters

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Voter is one voter: a node, where it is reached, and the random name of its disk.
type Voter struct {
	Node        string `json:"node"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Layout is the number of partitions, and how many machines with a disk may be lost at once, both fixed at founding.
type Layout struct {
	RoutinePartitions int `json:"routine"`
	UrgentPartitions  int `json:"urgent"`
	ToleratedLosses   int `json:"losses,omitempty"`
}

// ReplicationFactor is how many disks hold a partition: a majority of them outlasts the losses.
func (l Layout) ReplicationFactor() int { return 2*max(1, l.ToleratedLosses) + 1 }

// PartitionCount is the number of all partitions.
func (l Layout) PartitionCount() int { return l.RoutinePartitions + l.UrgentPartitions }

// Set is numbered; every promise is void under another number.
type Set struct {
	Sequence uint64  `json:"sequence"`
	Fleet    string  `json:"fleet"`
	Voters   []Voter `json:"seats"`
	Layout   Layout  `json:"layout"`
	// InitialSize is how many seats the fleet was founded with.
	InitialSize int `json:"founded,omitempty"`
}

// NewSet makes the first roster; equal seats give an equal fleet.
func NewSet(seats []Voter, l Layout) Set {
	s := slices.Clone(seats)
	slices.SortFunc(s, func(a, b Voter) int { return strings.Compare(a.Node, b.Node) })
	h := sha256.New()
	_ = json.NewEncoder(h).Encode(s)
	return Set{Sequence: 1, Fleet: hex.EncodeToString(h.Sum(nil))[:16], Voters: s, Layout: l, InitialSize: len(s)}
}

// Majority is how many seats decide.
func (r Set) Majority() int { return len(r.Voters)/2 + 1 }

// SpareVoters is how many seats there are beyond those of the founding, and beyond what losses take.
func (r Set) SpareVoters() int {
	return len(r.Voters) - max(r.InitialSize, r.Layout.ReplicationFactor())
}

// SealQuorum is how many sealed seats hold every decided value: N-Q+1.
func (r Set) SealQuorum() int { return len(r.Voters) - r.Majority() + 1 }

// Voter finds a node's seat.
func (r Set) Voter(node string) (Voter, bool) {
	for _, s := range r.Voters {
		if s.Node == node {
			return s, true
		}
	}
	return Voter{}, false
}

// Replace gives the next roster with each of ins in its node's seat, or in a new one.
func (r Set) Replace(ins ...Voter) Set {
	n := r
	n.Sequence++
	n.Voters = slices.DeleteFunc(slices.Clone(r.Voters), func(s Voter) bool {
		return slices.ContainsFunc(ins, func(in Voter) bool { return in.Node == s.Node })
	})
	n.Voters = append(n.Voters, ins...)
	slices.SortFunc(n.Voters, func(a, b Voter) int { return strings.Compare(a.Node, b.Node) })
	return n
}

// Without gives the roster without the seats of some nodes, under the same number.
func (r Set) Without(nodes ...string) Set {
	r.Voters = slices.DeleteFunc(slices.Clone(r.Voters), func(s Voter) bool { return slices.Contains(nodes, s.Node) })
	return r
}
