// Package state is what a partition's deliveries depend on: a function of its ledger.
// It holds each visitor's accepted call numbers, the ordering progress of each topic, cursors and attachments.
package state

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"postjunction/internal/partitionlog/log"
)

// AcceptedCall is one accepted call: its number, its place and the name of its body.
type AcceptedCall struct {
	CallSeq uint64
	Offset  uint64
	Digest  string
}

// Accepted is how far a visitor's calls on a topic have come. Recent holds the answers to those whose messages the ledger still holds, rising by call
// and offset; it is not written down, since the ledger itself tells them (Recall). Floor is the highest call whose answer was let go: what is at or below
// it may have been taken, what stands between it and Last and is not in Recent never was.
type Accepted struct {
	Last       uint64
	Generation uint64
	Floor      uint64
	Recent     []AcceptedCall
}

type written struct {
	Last       uint64  `json:"l"`
	Generation uint64  `json:"g"`
	Floor      *uint64 `json:"f"`
}

// MarshalJSON writes what the ledger can't tell again.
func (a Accepted) MarshalJSON() ([]byte, error) {
	return json.Marshal(written{a.Last, a.Generation, &a.Floor})
}

// UnmarshalJSON reads it. A value of an older build has no floor: all up to its last call may have been taken.
func (a *Accepted) UnmarshalJSON(b []byte) error {
	var w written
	err := json.Unmarshal(b, &w)
	*a = Accepted{Last: w.Last, Generation: w.Generation, Floor: w.Last}
	if w.Floor != nil {
		a.Floor = *w.Floor
	}
	return err
}

// Progress is where a topic's line stands: the offset of its newest message, how many there were, and the offset of the last one that is no longer held.
type Progress struct {
	Offset  uint64 `json:"o"`
	Count   uint64 `json:"n"`
	Trimmed uint64 `json:"x,omitempty"`
}

// Attachment is the attachment of a visitor that is in force.
type Attachment struct {
	Generation uint64 `json:"g"`
	Secret     string `json:"s"`
	Offset     uint64 `json:"o"`
}

// SavedCursor is the cursor that a visitor left.
type SavedCursor struct {
	Cursor string `json:"c"`
	Offset uint64 `json:"o"`
}

// Tombstone is a withdrawal that stands: what came before its offset under its key is withdrawn, by whom and under which number.
type Tombstone struct {
	Offset  uint64 `json:"o"`
	Client  string `json:"v"`
	CallSeq uint64 `json:"c"`
}

// WrittenBy tells whether it is the mark of a visitor's call.
func (m Tombstone) WrittenBy(visitor string, call uint64) bool {
	return m.Client == visitor && m.CallSeq == call
}

// Reader is a node that may have been given messages under keys, under which boot, and the offset of the entry that says so. GivenUp is one that was not
// heard for so long that nobody waits for it. Before is the boot whose place it took: of that run nothing is left but what comes late.
type Reader struct {
	BootID         string `json:"b"`
	Offset         uint64 `json:"o"`
	GivenUp        bool   `json:"x,omitempty"`
	ReplacedBootID string `json:"f,omitempty"`
}

// ReaderEntry is what the entry of a reader says: that the node reads under a boot, that it is given up, or that it is gone.
type ReaderEntry struct {
	BootID  string `json:"b"`
	GivenUp bool   `json:"x,omitempty"`
	Gone    bool   `json:"g,omitempty"`
}

// SenderWithdrawal is what the entry of a withdrawal says when it names a sender: that one's numbers on the topic are passed up to one of them.
type SenderWithdrawal struct {
	Sender string `json:"o"`
	UpTo   uint64 `json:"u"`
}

// EncodePart gives a part of an entry as it stands in its body.
func EncodePart[T any](v T) []byte {
	b, _ := json.Marshal(v)
	return b
}

// DecodePart reads a part of an entry from its body; that of an empty body is empty.
func DecodePart[T any](e log.Entry) T {
	var v T
	_ = json.Unmarshal(e.Body, &v)
	return v
}

// CallDigest gives the name under which a call is known: that of its body, and where it has a key also of that and of what it asked.
func CallDigest(what, key, digest string) string {
	if key == "" {
		return digest
	}
	return digest + "\x1f" + what + "\x1f" + key
}

// MaxAnswers is the most answers that are kept per visitor and topic, whatever the ledger holds.
const MaxAnswers = 4096

// State is one partition's; it is used under its owner's turn.
type State struct {
	Accepted     map[string]Accepted    `json:"a"`
	Progress     map[string]Progress    `json:"p"`
	Attachments  map[string]Attachment  `json:"t"`
	SavedCursors map[string]SavedCursor `json:"k"`
	Tombstones   map[string]Tombstone   `json:"m,omitempty"`
	Readers      map[string]Reader      `json:"r,omitempty"`
	Input        uint64                 `json:"i"`
	// LastKeyed is the offset of the last message under a key that the ledger holds; the ledger itself tells it (Recall).
	LastKeyed map[string]uint64 `json:"-"`
	dirty     map[string]bool
}

// New makes an empty state.
func New() *State {
	return &State{Accepted: map[string]Accepted{}, Progress: map[string]Progress{}, Attachments: map[string]Attachment{}, SavedCursors: map[string]SavedCursor{}, Tombstones: map[string]Tombstone{}, Readers: map[string]Reader{}, LastKeyed: map[string]uint64{}, dirty: map[string]bool{}}
}

// Key names a visitor's calls on a topic, or with the topic first what stands under a key of it.
func Key(visitor, topic string) string { return visitor + "\x1f" + topic }

// Find gives the answer kept for a call number.
func (a Accepted) Find(c uint64) (AcceptedCall, bool) {
	i, ok := slices.BinarySearchFunc(a.Recent, c, func(t AcceptedCall, c uint64) int { return cmp.Compare(t.CallSeq, c) })
	if !ok {
		return AcceptedCall{}, false
	}
	return a.Recent[i], true
}

func (a *Accepted) keep(t AcceptedCall) {
	a.Recent = append(a.Recent, t)
	if n := len(a.Recent) - MaxAnswers; n > 0 {
		a.Floor = max(a.Floor, a.Recent[n-1].CallSeq)
		a.Recent = a.Recent[n:]
	}
}

const (
	accepted = "a:"
	progress = "p:"
	attached = "t:"
	acked    = "k:"
	marks    = "m:"
	readers  = "r:"
)

var apply = map[string]func(*State, log.Entry){
	log.TypeMessage: func(s *State, e log.Entry) { s.take(e, 1) },
	log.TypeWithdrawal: func(s *State, e log.Entry) {
		s.take(e, 0)
		s.mark(e)
		if p := DecodePart[SenderWithdrawal](e); p.Sender != "" {
			k := Key(p.Sender, e.Topic)
			if a := s.Accepted[k]; p.UpTo > a.Last {
				a.Last = p.UpTo
				s.Accepted[k] = a
				s.dirty[accepted+k] = true
			}
		}
	},
	log.TypeReader: func(s *State, e log.Entry) {
		if e.Offset <= s.Readers[e.Client].Offset {
			return
		}
		r := DecodePart[ReaderEntry](e)
		was := s.Readers[e.Client]
		if was.BootID != r.BootID {
			was.ReplacedBootID = was.BootID
		}
		s.Readers[e.Client] = Reader{r.BootID, e.Offset, r.GivenUp, was.ReplacedBootID}
		if r.Gone {
			delete(s.Readers, e.Client)
		}
		s.dirty[readers+e.Client] = true
	},
	log.TypeAttach: func(s *State, e log.Entry) {
		if e.Generation > s.Attachments[e.Client].Generation {
			s.Attachments[e.Client] = Attachment{e.Generation, string(e.Body), e.Offset}
			s.dirty[attached+e.Client] = true
		}
	},
	log.TypeCursor: func(s *State, e log.Entry) {
		if e.Offset > s.SavedCursors[e.Client].Offset {
			s.SavedCursors[e.Client] = SavedCursor{string(e.Body), e.Offset}
			s.dirty[acked+e.Client] = true
		}
	},
}

func (s *State) take(e log.Entry, n uint64) {
	k := Key(e.Client, e.Topic)
	a := s.Accepted[k]
	if e.CallSeq <= a.Last {
		s.RestoreAnswer(e)
		return
	}
	s.hold(e)
	a.Last, a.Generation = e.CallSeq, max(a.Generation, e.Generation)
	a.keep(AcceptedCall{e.CallSeq, e.Offset, CallDigest(e.Type, e.Key, e.Digest)})
	s.Accepted[k] = a
	s.dirty[accepted+k] = true
	if p := s.Progress[e.Topic]; e.Offset > p.Offset {
		s.Progress[e.Topic] = Progress{e.Offset, p.Count + n, p.Trimmed}
		s.dirty[progress+e.Topic] = true
	}
}

func (s *State) hold(e log.Entry) {
	if e.Type == log.TypeMessage && e.Key != "" {
		k := Key(e.Topic, e.Key)
		s.LastKeyed[k] = max(s.LastKeyed[k], e.Offset)
	}
}

func (s *State) drop(e log.Entry) {
	if k := Key(e.Topic, e.Key); s.LastKeyed[k] <= e.Offset {
		delete(s.LastKeyed, k)
	}
}

func (s *State) mark(e log.Entry) {
	if k := Key(e.Topic, e.Key); e.Offset > s.Tombstones[k].Offset {
		s.Tombstones[k] = Tombstone{e.Offset, e.Client, e.CallSeq}
		s.dirty[marks+k] = true
	}
}

// Covers tells whether a message stands under a key that was withdrawn behind it.
func (s *State) Covers(e log.Entry) bool {
	return e.Key != "" && s.Tombstones[Key(e.Topic, e.Key)].Offset > e.Offset
}

// DropTombstone lets go of a mark.
func (s *State) DropTombstone(k string) {
	delete(s.Tombstones, k)
	s.dirty[marks+k] = true
}

// Apply takes one committed entry; applying it again changes nothing.
func (s *State) Apply(e log.Entry) {
	if f, ok := apply[e.Type]; ok {
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
	attached: func(s *State, n string) any { return s.Attachments[n] },
	acked:    func(s *State, n string) any { return s.SavedCursors[n] },
	marks:    func(s *State, n string) any { return left(s.Tombstones, n) },
	readers:  func(s *State, n string) any { return left(s.Readers, n) },
}

// left gives what a map holds, and nothing where it lets go of that.
func left[T any](m map[string]T, n string) any {
	if v, ok := m[n]; ok {
		return v
	}
	return nil
}

func (s *State) item(k string) Item {
	v := get[k[:len(accepted)]](s, k[len(accepted):])
	b, _ := json.Marshal(v)
	return Item{k, b}
}

// TakeChanges gives the latest value of each key changed since the last call.
func (s *State) TakeChanges() []Item {
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

// MarkAllChanged marks every key as changed, for a compaction of the changelog.
func (s *State) MarkAllChanged() {
	for k := range s.Accepted {
		s.dirty[accepted+k] = true
	}
	for k := range s.Progress {
		s.dirty[progress+k] = true
	}
	for k := range s.Attachments {
		s.dirty[attached+k] = true
	}
	for k := range s.SavedCursors {
		s.dirty[acked+k] = true
	}
	for k := range s.Tombstones {
		s.dirty[marks+k] = true
	}
	for k := range s.Readers {
		s.dirty[readers+k] = true
	}
}

// RestoreAnswer takes an entry of the ledger that the state was written down with, so that its answer is known again. Entries come in the order of the ledger.
// A mark stands again with its entry: one that was let go elsewhere covers what this ledger still holds.
func (s *State) RestoreAnswer(e log.Entry) {
	if !numbered[e.Type] {
		return
	}
	s.hold(e)
	if e.Type == log.TypeWithdrawal {
		s.mark(e)
	}
	k := Key(e.Client, e.Topic)
	a, ok := s.Accepted[k]
	if n := len(a.Recent); !ok || e.CallSeq > a.Last || n > 0 && a.Recent[n-1].CallSeq >= e.CallSeq {
		return
	}
	a.keep(AcceptedCall{e.CallSeq, e.Offset, CallDigest(e.Type, e.Key, e.Digest)})
	s.Accepted[k] = a
}

// numbered are the entries that a visitor's call numbers name.
var numbered = map[string]bool{log.TypeMessage: true, log.TypeWithdrawal: true}

// Prune lets go of the answers to entries that the ledger is about to drop, in the order of their offsets, and notes per topic what is gone; how far the
// calls have come stays for good, so nothing is ever taken twice. It gives how many answers were let go.
func (s *State) Prune(es ...log.Entry) int {
	n := 0
	for _, e := range es {
		if !numbered[e.Type] {
			continue
		}
		if e.Key != "" {
			s.drop(e)
		}
		k := Key(e.Client, e.Topic)
		a, i := s.Accepted[k], 0
		for i < len(a.Recent) && a.Recent[i].Offset <= e.Offset {
			i++
		}
		if i > 0 {
			a.Floor = max(a.Floor, a.Recent[i-1].CallSeq)
			a.Recent = a.Recent[i:]
			if len(a.Recent) == 0 {
				a.Recent = nil
			}
			s.Accepted[k] = a
			s.dirty[accepted+k] = true
			n += i
		}
		if p := s.Progress[e.Topic]; e.Offset > p.Trimmed {
			p.Trimmed = e.Offset
			s.Progress[e.Topic] = p
			s.dirty[progress+e.Topic] = true
		}
	}
	return n
}

// Changed tells whether a key changed since the last call of Dirty.
func (s *State) Changed() bool { return len(s.dirty) > 0 }

// Size is the number of keys.
func (s *State) Size() int {
	return len(s.Accepted) + len(s.Progress) + len(s.Attachments) + len(s.SavedCursors) + len(s.Tombstones) + len(s.Readers)
}

func put[T any](m map[string]T, n string, b []byte) error {
	if len(b) == 0 || string(b) == "null" {
		delete(m, n)
		return nil
	}
	var v T
	err := json.Unmarshal(b, &v)
	m[n] = v
	return err
}

var set = map[string]func(*State, string, []byte) error{
	accepted: func(s *State, n string, b []byte) error { return put(s.Accepted, n, b) },
	progress: func(s *State, n string, b []byte) error { return put(s.Progress, n, b) },
	attached: func(s *State, n string, b []byte) error { return put(s.Attachments, n, b) },
	acked:    func(s *State, n string, b []byte) error { return put(s.SavedCursors, n, b) },
	marks:    func(s *State, n string, b []byte) error { return put(s.Tombstones, n, b) },
	readers:  func(s *State, n string, b []byte) error { return put(s.Readers, n, b) },
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

// Marshal writes the whole state.
func (s *State) Marshal() json.RawMessage {
	b, _ := json.Marshal(s)
	return b
}

// Unmarshal reads a whole state.
func Unmarshal(b []byte) (*State, error) {
	s := New()
	err := json.Unmarshal(b, s)
	return s, err
}
