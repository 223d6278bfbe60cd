// Package assignment is the ownership record of a partition.
package assignment

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
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

// Record says who decides for a partition, which disks hold it, and why.
type Record struct {
	Partition int            `json:"partition"`
	Epoch     uint64         `json:"epoch"`
	Leader    string         `json:"owner"`
	Replicas  []Replica      `json:"replicas"`
	Learner   *Replica       `json:"learner,omitempty"`
	Recovered bool           `json:"settled"`
	Version   uint64         `json:"writes"`
	History   []HistoryEntry `json:"history,omitempty"`
}

const (
	prefix  = "partition/"
	history = 24
)

// Key is the control key of a partition's record.
func Key(p int) string { return fmt.Sprintf("%s%03d", prefix, p) }

// Partition gives the partition of a control key.
func Partition(k string) (int, bool) {
	s, ok := strings.CutPrefix(k, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(s)
	return n, err == nil
}

// Parse reads a record as it was written the given number of times.
func Parse(b []byte, writes uint64) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	r.Version = writes
	return r, err
}

// Marshal writes a record.
func (r Record) Marshal() []byte {
	b, _ := json.Marshal(r)
	return b
}

// Replica finds a node's place.
func (r Record) Replica(node string) (Replica, bool) {
	for _, p := range r.Replicas {
		if p.Node == node {
			return p, true
		}
	}
	return Replica{}, false
}

// WithReplica gives the places with one more, or with it in the place of its node's other disk.
func (r Record) WithReplica(l Replica) []Replica {
	ps := slices.Clone(r.Replicas)
	if i := slices.IndexFunc(ps, func(p Replica) bool { return p.Node == l.Node }); i >= 0 {
		ps[i] = l
		return ps
	}
	return append(ps, l)
}

// Majority is how many places decide.
func (r Record) Majority() int { return len(r.Replicas)/2 + 1 }

// Nodes lists the places' nodes.
func (r Record) Nodes() []string {
	var s []string
	for _, p := range r.Replicas {
		s = append(s, p.Node)
	}
	return s
}

// Next gives the record under the next epoch, with the reason for the change.
func (r Record) Next(owner string, places []Replica, reason string, now time.Time) Record {
	n := r
	n.Epoch++
	n.Leader, n.Replicas, n.Recovered, n.Learner = owner, slices.Clone(places), false, nil
	n.History = append(slices.Clone(r.History), HistoryEntry{Epoch: n.Epoch, Leader: owner, Replicas: n.Nodes(), Reason: reason, At: now.UTC()})
	if k := len(n.History) - history; k > 0 {
		n.History = n.History[k:]
	}
	return n
}

// WithoutHistory gives the record without its history, for nodes that only need to know who decides.
func (r Record) WithoutHistory() Record {
	r.History = nil
	return r
}

// Holds tells whether the record places the partition on a node, as replica or learner.
func (r Record) Holds(node string) bool {
	_, ok := r.Replica(node)
	return ok || r.Learner != nil && r.Learner.Node == node
}

// Successors are the places that may take a partition over when its owner is gone, in the order in which they do.
type Successors []Replica

// Successors names who follows the owner. The order starts at another place for each partition, so that one machine's partitions go to several;
// rank says how late a place comes, below 0 for one that can't take over.
func (r Record) Successors(rank func(Replica) int) Successors {
	var h Successors
	for i := range r.Replicas {
		p := r.Replicas[(i+r.Partition)%len(r.Replicas)]
		if p.Node != r.Leader && rank(p) >= 0 {
			h = append(h, p)
		}
	}
	slices.SortStableFunc(h, func(a, b Replica) int { return rank(a) - rank(b) })
	return h
}

// Rank gives a node's place in the order, -1 if it has none.
func (h Successors) Rank(node string) int {
	return slices.IndexFunc(h, func(p Replica) bool { return p.Node == node })
}
