// Package roster names the disks whose majority decides control keys.
package roster

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

// Layout is the number of partitions, fixed at founding.
type Layout struct {
	Routine int `json:"routine"`
	Urgent  int `json:"urgent"`
}

// Count is the number of all partitions.
func (l Layout) Count() int { return l.Routine + l.Urgent }

// Roster is numbered; every promise is void under another number.
type Roster struct {
	Sequence uint64 `json:"sequence"`
	Fleet    string `json:"fleet"`
	Seats    []Seat `json:"seats"`
	Layout   Layout `json:"layout"`
}

// Found makes the first roster; equal seats give an equal fleet.
func Found(seats []Seat, l Layout) Roster {
	s := slices.Clone(seats)
	slices.SortFunc(s, func(a, b Seat) int { return strings.Compare(a.Node, b.Node) })
	h := sha256.New()
	_ = json.NewEncoder(h).Encode(s)
	return Roster{Sequence: 1, Fleet: hex.EncodeToString(h.Sum(nil))[:16], Seats: s, Layout: l}
}

// Majority is how many seats decide.
func (r Roster) Majority() int { return len(r.Seats)/2 + 1 }

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

// Replace gives the next roster with out's seat taken by in; an empty out only adds.
func (r Roster) Replace(out string, in Seat) Roster {
	n := r
	n.Sequence++
	n.Seats = slices.DeleteFunc(slices.Clone(r.Seats), func(s Seat) bool { return s.Node == out || s.Node == in.Node })
	n.Seats = append(n.Seats, in)
	slices.SortFunc(n.Seats, func(a, b Seat) int { return strings.Compare(a.Node, b.Node) })
	return n
}
