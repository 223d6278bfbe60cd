// Package voters names the disks whose majority decides control keys.
package voters

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
)

// Seat is one voter: a node, where it is reached, and the random name of its disk.
type Seat struct {
	Node        string `json:"node"`
	Addr        string `json:"addr"`
	Incarnation string `json:"incarnation"`
}

// Layout is the number of partitions, and how many machines with a disk may be lost at once, both fixed at founding.
type Layout struct {
	Routine int `json:"routine"`
	Urgent  int `json:"urgent"`
	Losses  int `json:"losses,omitempty"`
}

// Copies is how many disks hold a partition: a majority of them outlasts the losses.
func (l Layout) Copies() int { return 2*max(1, l.Losses) + 1 }

// Count is the number of all partitions.
func (l Layout) Count() int { return l.Routine + l.Urgent }

// Roster is numbered; every promise is void under another number.
type Roster struct {
	Sequence uint64 `json:"sequence"`
	Fleet    string `json:"fleet"`
	Seats    []Seat `json:"seats"`
	Layout   Layout `json:"layout"`
	// Founded is how many seats the fleet was founded with.
	Founded int `json:"founded,omitempty"`
}

// Found makes the first roster; equal seats give an equal fleet.
func Found(seats []Seat, l Layout) Roster {
	s := slices.Clone(seats)
	slices.SortFunc(s, func(a, b Seat) int { return strings.Compare(a.Node, b.Node) })
	h := sha256.New()
	_ = json.NewEncoder(h).Encode(s)
	return Roster{Sequence: 1, Fleet: hex.EncodeToString(h.Sum(nil))[:16], Seats: s, Layout: l, Founded: len(s)}
}

// Majority is how many seats decide.
func (r Roster) Majority() int { return len(r.Seats)/2 + 1 }

// Spare is how many seats there are beyond those of the founding, and beyond what losses take.
func (r Roster) Spare() int { return len(r.Seats) - max(r.Founded, r.Layout.Copies()) }

// Intact is how many sealed seats hold every decided value: N-Q+1.
func (r Roster) Intact() int { return len(r.Seats) - r.Majority() + 1 }

// Seat finds a node's seat.
func (r Roster) Seat(node string) (Seat, bool) {
	for _, s := range r.Seats {
		if s.Node == node {
			return s, true
		}
	}
	return Seat{}, false
}

// Replace gives the next roster with each of ins in its node's seat, or in a new one.
func (r Roster) Replace(ins ...Seat) Roster {
	n := r
	n.Sequence++
	n.Seats = slices.DeleteFunc(slices.Clone(r.Seats), func(s Seat) bool {
		return slices.ContainsFunc(ins, func(in Seat) bool { return in.Node == s.Node })
	})
	n.Seats = append(n.Seats, ins...)
	slices.SortFunc(n.Seats, func(a, b Seat) int { return strings.Compare(a.Node, b.Node) })
	return n
}

// Without gives the roster without the seats of some nodes, under the same number.
func (r Roster) Without(nodes ...string) Roster {
	r.Seats = slices.DeleteFunc(slices.Clone(r.Seats), func(s Seat) bool { return slices.Contains(nodes, s.Node) })
	return r
}
