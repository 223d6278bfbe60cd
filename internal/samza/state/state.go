// Package state is what a partition's deliveries depend on: a function of its ledger.
// It holds each visitor's accepted call numbers, the ordering progress of each topic, cursors and attachments.
package state

import (
	"encoding/json"
	"slices"
	"strings"

	"postjunction/internal/ledger/line"
)

// Taken is one accepted call: its number, its place and the name of its body.
type Taken struct {
	Call   uint64 `json:"c"`
	Offset uint64 `json:"o"`
	Digest string `json:"s"`
}

// Accepted is how far a visitor's calls on a topic have come, with the answers still kept.
type Accepted struct {
	Last       uint64  `json:"l"`
	Generation uint64  `json:"g"`
	Recent     []Taken `json:"r,omitempty"`
}

// Progress is where a topic's line stands.
type Progress struct {
	Offset uint64 `json:"o"`
	Count  uint64 `json:"n"`
}

// Attached is the attachment of a visitor that is in force.
type Attached struct {
	Generation uint64 `json:"g"`
	Secret     string `json:"s"`
	Offset     uint64 `json:"o"`
}

// Acked is the cursor that a visitor left.
type Acked struct {
	Cursor string `json:"c"`
	Offset uint64 `json:"o"`
}

// Keep is how many answers are kept per visitor and topic.
const Keep = 32

// State is one partition's; it is used under its owner's turn.
type State struct {
	Accepted map[string]Accepted `json:"a"`
	Progress map[string]Progress `json:"p"`
	Attached map[string]Attached `json:"t"`
	Acked    map[string]Acked    `json:"k"`
	Input    uint64              `json:"i"`
	dirty    map[string]bool
}

// New makes an empty state.
func New() *State {
	return &State{Accepted: map[string]Accepted{}, Progress: map[string]Progress{}, Attached: map[string]Attached{}, Acked: map[string]Acked{}, dirty: map[string]bool{}}
}

// Key names a visitor's calls on a topic.
func Key(visitor, topic string) string { return visitor + "\x1f" + topic }

// Find gives the answer kept for a call number.
func (a Accepted) Find(c uint64) (Taken, bool) {
	for _, t := range a.Recent {
		if t.Call == c {
			return t, true
		}
	}
	return Taken{}, false
}

const (
	accepted = "a:"
	progress = "p:"
	attached = "t:"
	acked    = "k:"
)

var apply = map[string]func(*State, line.Entry){
	line.Message: func(s *State, e line.Entry) {
		k := Key(e.Visitor, e.Topic)
		a := s.Accepted[k]
		if e.Call <= a.Last {
			return
		}
		a.Last, a.Generation = e.Call, max(a.Generation, e.Generation)
		a.Recent = append(slices.Clone(a.Recent), Taken{e.Call, e.Offset, e.Digest})
		if n := len(a.Recent) - Keep; n > 0 {
			a.Recent = a.Recent[n:]
		}
		s.Accepted[k] = a
		s.dirty[accepted+k] = true
		if p := s.Progress[e.Topic]; e.Offset > p.Offset {
			s.Progress[e.Topic] = Progress{e.Offset, p.Count + 1}
			s.dirty[progress+e.Topic] = true
		}
	},
	line.Attach: func(s *State, e line.Entry) {
		if e.Generation > s.Attached[e.Visitor].Generation {
			s.Attached[e.Visitor] = Attached{e.Generation, string(e.Body), e.Offset}
			s.dirty[attached+e.Visitor] = true
		}
	},
	line.Cursor: func(s *State, e line.Entry) {
		if e.Offset > s.Acked[e.Visitor].Offset {
			s.Acked[e.Visitor] = Acked{string(e.Body), e.Offset}
			s.dirty[acked+e.Visitor] = true
		}
	},
}

// Apply takes one committed entry; applying it again changes nothing.
func (s *State) Apply(e line.Entry) {
	if f, ok := apply[e.What]; ok {
		f(s, e)
	}
	s.Input = max(s.Input, e.Offset)
}

// Item is the latest value of one key.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

var get = map[string]func(*State, string) any{
	accepted: func(s *State, n string) any { return s.Accepted[n] },
	progress: func(s *State, n string) any { return s.Progress[n] },
	attached: func(s *State, n string) any { return s.Attached[n] },
	acked:    func(s *State, n string) any { return s.Acked[n] },
}

func (s *State) item(k string) Item {
	v := get[k[:len(accepted)]](s, k[len(accepted):])
	b, _ := json.Marshal(v)
	return Item{k, b}
}

// Dirty gives the latest value of each key changed since the last call.
func (s *State) Dirty() []Item {
	ks := make([]string, 0, len(s.dirty))
	for k := range s.dirty {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	clear(s.dirty)
	is := make([]Item, len(ks))
	for i, k := range ks {
		is[i] = s.item(k)
	}
	return is
}

// All marks every key as changed, for a compaction of the changelog.
func (s *State) All() {
	for k := range s.Accepted {
		s.dirty[accepted+k] = true
	}
	for k := range s.Progress {
		s.dirty[progress+k] = true
	}
	for k := range s.Attached {
		s.dirty[attached+k] = true
	}
	for k := range s.Acked {
		s.dirty[acked+k] = true
	}
}

// Prune forgets the answers that stand at or before an offset, which the ledger no longer holds; how far the calls have come stays for good, so
// nothing is ever taken twice. It gives how many answers were forgotten.
func (s *State) Prune(before uint64) int {
	n := 0
	for k, a := range s.Accepted {
		i := 0
		for i < len(a.Recent) && a.Recent[i].Offset <= before {
			i++
		}
		if i > 0 {
			a.Recent = slices.Clone(a.Recent[i:])
			s.Accepted[k] = a
			n += i
		}
	}
	return n
}

// Size is the number of keys.
func (s *State) Size() int {
	return len(s.Accepted) + len(s.Progress) + len(s.Attached) + len(s.Acked)
}

func put[T any](m map[string]T, n string, b []byte) error {
	var v T
	err := json.Unmarshal(b, &v)
	m[n] = v
	return err
}

var set = map[string]func(*State, string, []byte) error{
	accepted: func(s *State, n string, b []byte) error { return put(s.Accepted, n, b) },
	progress: func(s *State, n string, b []byte) error { return put(s.Progress, n, b) },
	attached: func(s *State, n string, b []byte) error { return put(s.Attached, n, b) },
	acked:    func(s *State, n string, b []byte) error { return put(s.Acked, n, b) },
}

// Set takes the latest value of a key from the changelog.
func (s *State) Set(i Item) error {
	if len(i.Key) < len(accepted) {
		return nil
	}
	f, ok := set[i.Key[:len(accepted)]]
	if !ok {
		return nil
	}
	return f(s, i.Key[len(accepted):], i.Value)
}

// Senders counts the visitors that sent on each topic.
func (s *State) Senders() map[string]int {
	m := map[string]int{}
	for k := range s.Accepted {
		_, t, _ := strings.Cut(k, "\x1f")
		m[t]++
	}
	return m
}

// Pack writes the whole state.
func (s *State) Pack() json.RawMessage {
	b, _ := json.Marshal(s)
	return b
}

// Unpack reads a whole state.
func Unpack(b []byte) (*State, error) {
	s := New()
	err := json.Unmarshal(b, s)
	return s, err
}
