// Package voters has the voter set: the control nodes, by the names of their disks, whose majority
// decides the control keys.
//
// A Set is a value: what changes it returns another one, and its methods do no I/O. Its number only
// rises, and every promise and acceptance is void under another number. A wiped disk comes back
// under another incarnation, and is no voter until a later set names it.
package voters

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Voter is a node, the address that its peers reach it at, and the random name of its disk.
type Voter struct {
	Node        string `json:"node"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Layout is the number of partitions of each class, and how many machines with a disk may be lost
// at once. All are fixed at the bootstrap of the fleet.
type Layout struct {
	RoutinePartitions int `json:"routine"`
	UrgentPartitions  int `json:"urgent"`
	ToleratedLosses   int `json:"losses,omitempty"`
}

// ReplicationFactor returns how many disks hold a partition: a majority of them outlasts the
// tolerated losses, of which there is one at least.
func (l Layout) ReplicationFactor() int { return 2*max(1, l.ToleratedLosses) + 1 }

// PartitionCount returns the number of all partitions.
func (l Layout) PartitionCount() int { return l.RoutinePartitions + l.UrgentPartitions }

// Set is a numbered voter set, its voters ordered by node.
type Set struct {
	// Sequence is 0 for no set, 1 for that of the bootstrap, and one more for each change.
	Sequence uint64 `json:"sequence"`
	// Fleet is the digest of the first voters, by which disks of another fleet are known.
	Fleet  string  `json:"fleet"`
	Voters []Voter `json:"seats"`
	Layout Layout  `json:"layout"`
	// InitialSize is how many voters the first set had.
	InitialSize int `json:"founded,omitempty"`
}

// NewSet returns the first voter set of a fleet; equal voters make an equal fleet.
func NewSet(initial []Voter, layout Layout) Set {
	sorted := sortedByNode(slices.Clone(initial))
	digest := sha256.New()
	_ = json.NewEncoder(digest).Encode(sorted) // a hash takes every write
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

// Majority returns how many voters decide.
func (s Set) Majority() int { return len(s.Voters)/2 + 1 }

// SpareVoters returns how many voters there are beyond those of the bootstrap, and beyond what the
// tolerated losses take. It is negative where there are too few.
func (s Set) SpareVoters() int {
	return len(s.Voters) - max(s.InitialSize, s.Layout.ReplicationFactor())
}

// SealQuorum returns how many sealed voters must be read so that one of them has any decided value:
// with a majority Q of N voters, N-Q+1.
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

// Replace returns the next voter set, in which each of the given voters replaces the one of its
// node or is added.
func (s Set) Replace(added ...Voter) Set {
	next := s
	next.Sequence++
	unchanged := slices.DeleteFunc(slices.Clone(s.Voters), func(voter Voter) bool {
		return slices.ContainsFunc(added, func(addedVoter Voter) bool { return addedVoter.Node == voter.Node })
	})
	next.Voters = sortedByNode(append(unchanged, added...))
	return next
}

// Without returns the set without the voters of some nodes, under the same number.
func (s Set) Without(nodes ...string) Set {
	s.Voters = slices.DeleteFunc(slices.Clone(s.Voters), func(voter Voter) bool {
		return slices.Contains(nodes, voter.Node)
	})
	return s
}
