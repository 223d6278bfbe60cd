// Package assignment defines the assignment record of a partition: which node leads it, under which
// epoch, and which disks hold its replicas.
//
// A record is stored in a control register, and its Version is that of the register. A change is
// based on a version and is rejected if another change was made first. Invariants: the epoch only
// grows, and grows with each change of the leader or the replicas. Under one epoch there is one
// leader. A record is a value. Its methods return changed copies, do no I/O and hold no locks.
package assignment

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	keyPrefix = "partition/"
	// maxHistory is the most changes that a record has in its history.
	maxHistory = 24
)

// Replica is one disk that holds a partition.
type Replica struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// HistoryEntry is one change in a record's history.
type HistoryEntry struct {
	Epoch    uint64    `json:"epoch"`
	Leader   string    `json:"owner"`
	Replicas []string  `json:"replicas"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

// Record names the leader of a partition, the disks that hold it, and why.
type Record struct {
	Partition int       `json:"partition"`
	Epoch     uint64    `json:"epoch"`
	Leader    string    `json:"owner"`
	Replicas  []Replica `json:"replicas"`
	// Learner is a disk that the partition is being copied to. It doesn't count for a majority.
	Learner *Replica `json:"learner,omitempty"`
	// Recovered reports whether the leader has finished its failover, after which replicas may
	// change.
	Recovered bool `json:"settled"`
	// Version is how many times the register was written.
	Version uint64         `json:"writes"`
	History []HistoryEntry `json:"history,omitempty"`
}

// Key returns the control key of a partition's record.
func Key(partition int) string { return fmt.Sprintf("%s%03d", keyPrefix, partition) }

// Partition returns the partition of a control key, and false for a key of something else.
func Partition(key string) (int, bool) {
	number, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return 0, false
	}
	partition, err := strconv.Atoi(number)
	return partition, err == nil
}

// Parse reads a record that a register holds at a version.
func Parse(data []byte, version uint64) (Record, error) {
	var record Record
	err := json.Unmarshal(data, &record)
	record.Version = version
	return record, err
}

// Marshal returns the record as JSON, which Parse reads.
func (r Record) Marshal() []byte {
	data, _ := json.Marshal(r) // fails only on times past the year 9999
	return data
}

// Replica returns the replica on a node, and false where it has none.
func (r Record) Replica(node string) (Replica, bool) {
	for _, replica := range r.Replicas {
		if replica.Node == node {
			return replica, true
		}
	}
	return Replica{}, false
}

// WithReplica returns the replicas with another one added. It replaces the replica that its node
// already has, if there is one.
func (r Record) WithReplica(added Replica) []Replica {
	replicas := slices.Clone(r.Replicas)
	onNode := func(replica Replica) bool { return replica.Node == added.Node }
	if i := slices.IndexFunc(replicas, onNode); i >= 0 {
		replicas[i] = added
		return replicas
	}
	return append(replicas, added)
}

// Majority returns how many replicas make a majority.
func (r Record) Majority() int { return len(r.Replicas)/2 + 1 }

// Nodes returns the nodes of the replicas.
func (r Record) Nodes() []string {
	var nodes []string
	for _, replica := range r.Replicas {
		nodes = append(nodes, replica.Node)
	}
	return nodes
}

// Next returns the record under the next epoch, not recovered and without a learner, with the
// reason for the change in its history.
func (r Record) Next(leader string, replicas []Replica, reason string, now time.Time) Record {
	next := r
	next.Epoch++
	next.Leader, next.Replicas, next.Recovered, next.Learner = leader, slices.Clone(replicas), false, nil
	entry := HistoryEntry{Epoch: next.Epoch, Leader: leader, Replicas: next.Nodes(), Reason: reason, At: now.UTC()}
	next.History = append(slices.Clone(r.History), entry)
	if surplus := len(next.History) - maxHistory; surplus > 0 {
		next.History = next.History[surplus:]
	}
	return next
}

// WithoutHistory returns the record without its history, for nodes that only need to know the
// leader.
func (r Record) WithoutHistory() Record {
	r.History = nil
	return r
}

// Includes reports whether a node has a replica or the learner of the partition.
func (r Record) Includes(node string) bool {
	_, ok := r.Replica(node)
	return ok || r.Learner != nil && r.Learner.Node == node
}

// Successors are the replicas that may take over a partition whose leader failed, in the order in
// which they do.
type Successors []Replica

// Successors returns the replicas that follow the leader. The order starts at another replica for
// each partition, so that the partitions of one machine are spread over several. rank returns how
// late a replica comes, below 0 for one that can't lead.
func (r Record) Successors(rank func(Replica) int) Successors {
	var successors Successors
	for i := range r.Replicas {
		replica := r.Replicas[(i+r.Partition)%len(r.Replicas)]
		if replica.Node != r.Leader && rank(replica) >= 0 {
			successors = append(successors, replica)
		}
	}
	slices.SortStableFunc(successors, func(a, b Replica) int { return rank(a) - rank(b) })
	return successors
}

// Rank returns a node's index in the order, -1 if it isn't in it.
func (s Successors) Rank(node string) int {
	return slices.IndexFunc(s, func(replica Replica) bool { return replica.Node == node })
}
