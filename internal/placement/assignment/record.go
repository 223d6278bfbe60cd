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

// Place is one disk that holds a partition.
type Place struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// Step is one change in a record's history.
type Step struct {
	Epoch    uint64    `json:"epoch"`
	Owner    string    `json:"owner"`
	Replicas []string  `json:"replicas"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
}

// Record says who decides for a partition, which disks hold it, and why.
type Record struct {
	Partition int     `json:"partition"`
	Epoch     uint64  `json:"epoch"`
	Owner     string  `json:"owner"`
	Replicas  []Place `json:"replicas"`
	Learner   *Place  `json:"learner,omitempty"`
	Settled   bool    `json:"settled"`
	Writes    uint64  `json:"writes"`
	History   []Step  `json:"history,omitempty"`
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
	r.Writes = writes
	return r, err
}

// Pack writes a record.
func (r Record) Pack() []byte {
	b, _ := json.Marshal(r)
	return b
}

// Place finds a node's place.
func (r Record) Place(node string) (Place, bool) {
	for _, p := range r.Replicas {
		if p.Node == node {
			return p, true
		}
	}
	return Place{}, false
}

// With gives the places with one more, or with it in the place of its node's other disk.
func (r Record) With(l Place) []Place {
	ps := slices.Clone(r.Replicas)
	if i := slices.IndexFunc(ps, func(p Place) bool { return p.Node == l.Node }); i >= 0 {
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
func (r Record) Next(owner string, places []Place, reason string, now time.Time) Record {
	n := r
	n.Epoch++
	n.Owner, n.Replicas, n.Settled, n.Learner = owner, slices.Clone(places), false, nil
	n.History = append(slices.Clone(r.History), Step{Epoch: n.Epoch, Owner: owner, Replicas: n.Nodes(), Reason: reason, At: now.UTC()})
	if k := len(n.History) - history; k > 0 {
		n.History = n.History[k:]
	}
	return n
}

// Lean gives the record without its history, for nodes that only need to know who decides.
func (r Record) Lean() Record {
	r.History = nil
	return r
}

// Holds tells whether the record places the partition on a node, as replica or learner.
func (r Record) Holds(node string) bool {
	_, ok := r.Place(node)
	return ok || r.Learner != nil && r.Learner.Node == node
}

// Heirs are the places that may take a partition over when its owner is gone, in the order in which they do.
type Heirs []Place

// Heirs names who follows the owner. The order starts at another place for each partition, so that one machine's partitions go to several;
// rank says how late a place comes, below 0 for one that can't take over.
func (r Record) Heirs(rank func(Place) int) Heirs {
	var h Heirs
	for i := range r.Replicas {
		p := r.Replicas[(i+r.Partition)%len(r.Replicas)]
		if p.Node != r.Owner && rank(p) >= 0 {
			h = append(h, p)
		}
	}
	slices.SortStableFunc(h, func(a, b Place) int { return rank(a) - rank(b) })
	return h
}

// Turn gives a node's place in the order, -1 if it has none.
func (h Heirs) Turn(node string) int {
	return slices.IndexFunc(h, func(p Place) bool { return p.Node == node })
}
