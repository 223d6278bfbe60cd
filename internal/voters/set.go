// Package voters defines the voter set: the control nodes whose majority decides the control keys,
// each identified by its disk.
//
// A Set is a value: methods that change it return another one. Its methods do no I/O. Its sequence
// only rises, and promises and acceptances under another sequence are void. A wiped disk has
// another incarnation, and is no voter until a later set names it.
package voters

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Voter is a node, the address where its peers reach it, and the incarnation of its disk, which is
// a random name.
type Voter struct {
	Node        string `json:"node"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Layout is the number of partitions of each class, and how many machines with a disk may be lost
// at once. They are fixed at the bootstrap of the fleet.
type Layout struct {
	RoutinePartitions int `json:"routine"`
	UrgentPartitions  int `json:"urgent"`
	ToleratedLosses   int `json:"losses,omitempty"`
}

// ReplicationFactor returns how many replicas a partition has. A majority of them survives the
// tolerated losses, which are at least one.
func (l Layout) ReplicationFactor() int { return 2*max(1, l.ToleratedLosses) + 1 }

// PartitionCount returns the number of all partitions.
func (l Layout) PartitionCount() int { return l.RoutinePartitions + l.UrgentPartitions }

// Set is a numbered voter set, its voters ordered by node.
type Set struct {
	// Sequence is 0 for no set and 1 for the set of the bootstrap. Each change adds 1.
	Sequence uint64 `json:"sequence"`
	// Fleet is the digest of the first voters. It identifies disks of another fleet.
	Fleet  string  `json:"fleet"`
	Voters []Voter `json:"seats"`
	Layout Layout  `json:"layout"`
	// InitialSize is the number of voters in the first set.
	InitialSize int `json:"founded,omitempty"`
}

// NewSet returns the first voter set of a fleet. Equal voters give an equal Fleet.
func NewSet(initial []Voter, layout Layout) Set {
	sorted := sortedByNode(slices.Clone(initial))
	digest := sha256.New()
	_ = json.NewEncoder(digest).Encode(sorted) // writing to a hash never fails
	return Set{
		Sequence:    1,
		Fleet:       hex.EncodeToString(digest.Sum(nil))[:16],
		Voters:      sorted,
		Layout:      layout,
		InitialSize: len(sorted),
	}
}

func sortedByNode(voters []Voter) []Voter {
	slices.SortFunc(voters, func(a, b Voter) int { return strings.Compare(a.Node, b.Node) })
	return voters
}

// Majority returns how many voters are a majority.
func (s Set) Majority() int { return len(s.Voters)/2 + 1 }

// SpareVoters returns how many voters there are beyond the number at the bootstrap, and beyond the
// replication factor that the tolerated losses need. It is negative if there are too few.
func (s Set) SpareVoters() int {
	return len(s.Voters) - max(s.InitialSize, s.Layout.ReplicationFactor())
}

// SealQuorum returns how many sealed voters must be read so that every decided value is on at least
// one of them: with a majority of Q of N voters, N-Q+1.
func (s Set) SealQuorum() int { return len(s.Voters) - s.Majority() + 1 }

// Voter returns the voter on a node, and whether there is one.
func (s Set) Voter(node string) (Voter, bool) {
	for _, voter := range s.Voters {
		if voter.Node == node {
			return voter, true
		}
	}
	return Voter{}, false
}

// Replace returns the next voter set. Each of the given voters replaces the voter of the same node,
// or is added if there is none.
func (s Set) Replace(added ...Voter) Set {
	next := s
	next.Sequence++
	unchanged := slices.DeleteFunc(slices.Clone(s.Voters), func(voter Voter) bool {
		return slices.ContainsFunc(added, func(addedVoter Voter) bool { return addedVoter.Node == voter.Node })
	})
	next.Voters = sortedByNode(append(unchanged, added...))
	return next
}

// Without returns the set without the voters of some nodes, with the same sequence.
func (s Set) Without(nodes ...string) Set {
	s.Voters = slices.DeleteFunc(slices.Clone(s.Voters), func(voter Voter) bool {
		return slices.Contains(nodes, voter.Node)
	})
	return s
}
