// Package state is what a partition's deliveries depend on: a function of its ledger. It holds each
// client's accepted call numbers, the ordering progress of each topic, cursors and attachments.
package state

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"postjunction/internal/partitionlog/log"
)

// AcceptedCall is one accepted call: its number, its offset and the digest of its body.
type AcceptedCall struct {
	CallSeq uint64
	Offset  uint64
	Digest  string
}

// Accepted is how far a client's calls on a topic have come. Recent holds the answers to those
// whose messages the ledger still holds, rising by call and offset; it is not written down, since
// the ledger itself tells them (RestoreAnswer). Floor is the highest call whose answer was dropped:
// what is at or below it may have been accepted, what stands between it and Last and is not in
// Recent never was.
type Accepted struct {
	Last       uint64
	Generation uint64
	Floor      uint64
	Recent     []AcceptedCall
}

type storedAccepted struct {
	Last       uint64  `json:"l"`
	Generation uint64  `json:"g"`
	Floor      *uint64 `json:"f"`
}

// MarshalJSON writes what the ledger can't tell again.
func (a Accepted) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedAccepted{a.Last, a.Generation, &a.Floor})
}

// UnmarshalJSON reads it. A value of an older build has no floor: all up to its last call may have
// been accepted.
func (a *Accepted) UnmarshalJSON(b []byte) error {
	var w storedAccepted
	err := json.Unmarshal(b, &w)
	*a = Accepted{Last: w.Last, Generation: w.Generation, Floor: w.Last}
	if w.Floor != nil {
		a.Floor = *w.Floor
	}
	return err
}

// Progress is how far a topic's log has come: the offset of its newest message, how many there
// were, and the offset of the last one that is no longer held.
type Progress struct {
	Offset  uint64 `json:"o"`
	Count   uint64 `json:"n"`
	Trimmed uint64 `json:"x,omitempty"`
}

// Attachment is the attachment of a client that is in force.
type Attachment struct {
	Generation uint64 `json:"g"`
	Secret     string `json:"s"`
	Offset     uint64 `json:"o"`
}

// SavedCursor is the cursor that a client left.
type SavedCursor struct {
	Cursor string `json:"c"`
	Offset uint64 `json:"o"`
}

// Tombstone is a withdrawal that stands: what came before its offset under its key is withdrawn, by
// whom and under which number.
type Tombstone struct {
	Offset  uint64 `json:"o"`
	Client  string `json:"v"`
	CallSeq uint64 `json:"c"`
}

// WrittenBy reports whether it is the tombstone of a client's call.
func (m Tombstone) WrittenBy(client string, call uint64) bool {
	return m.Client == client && m.CallSeq == call
}

// Reader is a node that may have been given messages under keys, under which boot, and the offset
// of the entry that says so. GivenUp is one that was not heard for so long that nobody waits for
// it. Before is the boot whose place it took: of that run nothing is left but what comes late.
type Reader struct {
	BootID         string `json:"b"`
	Offset         uint64 `json:"o"`
	GivenUp        bool   `json:"x,omitempty"`
	ReplacedBootID string `json:"f,omitempty"`
}

// ReaderEntry is what the entry of a reader says: that the node reads under a boot, that it is
// given up, or that it is gone.
type ReaderEntry struct {
	BootID  string `json:"b"`
	GivenUp bool   `json:"x,omitempty"`
	Gone    bool   `json:"g,omitempty"`
}

// SenderWithdrawal is what the entry of a withdrawal says when it names a sender: that one's
// numbers on the topic are passed up to one of them.
type SenderWithdrawal struct {
	Sender string `json:"o"`
	UpTo   uint64 `json:"u"`
}

// EncodePart returns a part of an entry as it stands in its body.
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

// CallDigest returns the name under which a call is known: that of its body, and where it has a key
// also of that and of what it asked.
func CallDigest(what, key, digest string) string {
	if key == "" {
		return digest
	}
	return digest + "\x1f" + what + "\x1f" + key
}

// MaxAnswers is the most answers that are kept per client and topic, whatever the ledger holds.
const MaxAnswers = 4096

// State is one partition's; it is used under its leader's lock.
type State struct {
	Accepted     map[string]Accepted    `json:"a"`
	Progress     map[string]Progress    `json:"p"`
	Attachments  map[string]Attachment  `json:"t"`
	SavedCursors map[string]SavedCursor `json:"k"`
	Tombstones   map[string]Tombstone   `json:"m,omitempty"`
	Readers      map[string]Reader      `json:"r,omitempty"`
	Input        uint64                 `json:"i"`
	// LastKeyed is the offset of the last message under a key that the ledger holds; the ledger
	// itself tells it (RestoreAnswer).
	LastKeyed map[string]uint64 `json:"-"`
	dirty     map[string]bool
}

// New makes an empty state.
func New() *State {
	return &State{
		Accepted: map[string]Accepted{}, Progress: map[string]Progress{},
		Attachments: map[string]Attachment{}, SavedCursors: map[string]SavedCursor{},
		Tombstones: map[string]Tombstone{}, Readers: map[string]Reader{},
		LastKeyed: map[string]uint64{}, dirty: map[string]bool{},
	}
}

// Key names a client's calls on a topic, or with the topic first what stands under a key of it.
func Key(client, topic string) string { return client + "\x1f" + topic }

// Find returns the answer kept for a call number.
func (a Accepted) Find(callSeq uint64) (AcceptedCall, bool) {
	i, ok := slices.BinarySearchFunc(
		a.Recent, callSeq,
		func(t AcceptedCall, callSeq uint64) int { return cmp.Compare(t.CallSeq, callSeq) },
	)
	if !ok {
		return AcceptedCall{}, false
	}
	return a.Recent[i], true
}

func (a *Accepted) addRecent(call AcceptedCall) {
	a.Recent = append(a.Recent, call)
	if n := len(a.Recent) - MaxAnswers; n > 0 {
		a.Floor = max(a.Floor, a.Recent[n-1].CallSeq)
		a.Recent = a.Recent[n:]
	}
}

const (
	accepted    = "a:"
	progress    = "p:"
	attachments = "t:"
	cursors     = "k:"
	tombstones  = "m:"
	readers     = "r:"
)

var apply = map[string]func(*State, log.Entry){
	log.TypeMessage: func(s *State, e log.Entry) { s.accept(e, 1) },
	log.TypeWithdrawal: func(s *State, e log.Entry) {
		s.accept(e, 0)
		s.addTombstone(e)
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
			s.dirty[attachments+e.Client] = true
		}
	},
	log.TypeCursor: func(s *State, e log.Entry) {
		if e.Offset > s.SavedCursors[e.Client].Offset {
			s.SavedCursors[e.Client] = SavedCursor{string(e.Body), e.Offset}
			s.dirty[cursors+e.Client] = true
		}
	},
}

func (s *State) accept(entry log.Entry, messages uint64) {
	key := Key(entry.Client, entry.Topic)
	a := s.Accepted[key]
	if entry.CallSeq <= a.Last {
		s.RestoreAnswer(entry)
		return
	}
	s.noteKeyed(entry)
	a.Last, a.Generation = entry.CallSeq, max(a.Generation, entry.Generation)
	a.addRecent(AcceptedCall{entry.CallSeq, entry.Offset, CallDigest(entry.Type, entry.Key, entry.Digest)})
	s.Accepted[key] = a
	s.dirty[accepted+key] = true
	if p := s.Progress[entry.Topic]; entry.Offset > p.Offset {
		s.Progress[entry.Topic] = Progress{entry.Offset, p.Count + messages, p.Trimmed}
		s.dirty[progress+entry.Topic] = true
	}
}

func (s *State) noteKeyed(entry log.Entry) {
	if entry.Type == log.TypeMessage && entry.Key != "" {
		key := Key(entry.Topic, entry.Key)
		s.LastKeyed[key] = max(s.LastKeyed[key], entry.Offset)
	}
}

func (s *State) forgetKeyed(entry log.Entry) {
	if key := Key(entry.Topic, entry.Key); s.LastKeyed[key] <= entry.Offset {
		delete(s.LastKeyed, key)
	}
}

func (s *State) addTombstone(entry log.Entry) {
	if key := Key(entry.Topic, entry.Key); entry.Offset > s.Tombstones[key].Offset {
		s.Tombstones[key] = Tombstone{entry.Offset, entry.Client, entry.CallSeq}
		s.dirty[tombstones+key] = true
	}
}

// Covers reports whether a message stands under a key that was withdrawn behind it.
func (s *State) Covers(entry log.Entry) bool {
	return entry.Key != "" && s.Tombstones[Key(entry.Topic, entry.Key)].Offset > entry.Offset
}

// DropTombstone drops a tombstone.
func (s *State) DropTombstone(key string) {
	delete(s.Tombstones, key)
	s.dirty[tombstones+key] = true
}

// Apply takes one committed entry; applying it again changes nothing.
func (s *State) Apply(entry log.Entry) {
	if f, ok := apply[entry.Type]; ok {
		f(s, entry)
	}
	s.Input = max(s.Input, entry.Offset)
}

// Item is the latest value of one key.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

var getters = map[string]func(*State, string) any{
	accepted:    func(s *State, n string) any { return s.Accepted[n] },
	progress:    func(s *State, n string) any { return s.Progress[n] },
	attachments: func(s *State, n string) any { return s.Attachments[n] },
	cursors:     func(s *State, n string) any { return s.SavedCursors[n] },
	tombstones:  func(s *State, n string) any { return valueOrNil(s.Tombstones, n) },
	readers:     func(s *State, n string) any { return valueOrNil(s.Readers, n) },
}

// valueOrNil returns what a map holds, and nothing where it lets go of that.
func valueOrNil[T any](m map[string]T, name string) any {
	if v, ok := m[name]; ok {
		return v
	}
	return nil
}

func (s *State) item(key string) Item {
	v := getters[key[:len(accepted)]](s, key[len(accepted):])
	b, _ := json.Marshal(v)
	return Item{key, b}
}

// TakeChanges returns the latest value of each key changed since the last call.
func (s *State) TakeChanges() []Item {
	keys := make([]string, 0, len(s.dirty))
	for key := range s.dirty {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	clear(s.dirty)
	items := make([]Item, len(keys))
	for i, key := range keys {
		items[i] = s.item(key)
	}
	return items
}

// MarkAllChanged marks every key as changed, for a compaction of the changelog.
func (s *State) MarkAllChanged() {
	for key := range s.Accepted {
		s.dirty[accepted+key] = true
	}
	for key := range s.Progress {
		s.dirty[progress+key] = true
	}
	for key := range s.Attachments {
		s.dirty[attachments+key] = true
	}
	for key := range s.SavedCursors {
		s.dirty[cursors+key] = true
	}
	for key := range s.Tombstones {
		s.dirty[tombstones+key] = true
	}
	for key := range s.Readers {
		s.dirty[readers+key] = true
	}
}

// RestoreAnswer takes an entry of the ledger that the state was written down with, so that its
// answer is known again. Entries come in the order of the ledger. A mark stands again with its
// entry: one that was let go elsewhere covers what this ledger still holds.
func (s *State) RestoreAnswer(entry log.Entry) {
	if !numbered[entry.Type] {
		return
	}
	s.noteKeyed(entry)
	if entry.Type == log.TypeWithdrawal {
		s.addTombstone(entry)
	}
	key := Key(entry.Client, entry.Topic)
	a, ok := s.Accepted[key]
	if n := len(a.Recent); !ok || entry.CallSeq > a.Last || n > 0 && a.Recent[n-1].CallSeq >= entry.CallSeq {
		return
	}
	a.addRecent(AcceptedCall{entry.CallSeq, entry.Offset, CallDigest(entry.Type, entry.Key, entry.Digest)})
	s.Accepted[key] = a
}

// numbered are the entries that a client's call numbers name.
var numbered = map[string]bool{log.TypeMessage: true, log.TypeWithdrawal: true}

// Prune drops the answers to entries that the ledger is about to drop, in the order of their
// offsets, and notes per topic what is gone; how far the calls have come stays for good, so nothing
// is ever accepted twice. It returns how many answers were dropped.
func (s *State) Prune(entries ...log.Entry) int {
	pruned := 0
	for _, entry := range entries {
		if !numbered[entry.Type] {
			continue
		}
		if entry.Key != "" {
			s.forgetKeyed(entry)
		}
		key := Key(entry.Client, entry.Topic)
		a, i := s.Accepted[key], 0
		for i < len(a.Recent) && a.Recent[i].Offset <= entry.Offset {
			i++
		}
		if i > 0 {
			a.Floor = max(a.Floor, a.Recent[i-1].CallSeq)
			a.Recent = a.Recent[i:]
			if len(a.Recent) == 0 {
				a.Recent = nil
			}
			s.Accepted[key] = a
			s.dirty[accepted+key] = true
			pruned += i
		}
		if p := s.Progress[entry.Topic]; entry.Offset > p.Trimmed {
			p.Trimmed = entry.Offset
			s.Progress[entry.Topic] = p
			s.dirty[progress+entry.Topic] = true
		}
	}
	return pruned
}

// Changed reports whether any key changed since the last call of TakeChanges.
func (s *State) Changed() bool { return len(s.dirty) > 0 }

// Size is the number of keys.
func (s *State) Size() int {
	return len(s.Accepted) + len(s.Progress) + len(s.Attachments) + len(s.SavedCursors) +
		len(s.Tombstones) + len(s.Readers)
}

func put[T any](m map[string]T, name string, b []byte) error {
	if len(b) == 0 || string(b) == "null" {
		delete(m, name)
		return nil
	}
	var value T
	err := json.Unmarshal(b, &value)
	m[name] = value
	return err
}

var setters = map[string]func(*State, string, []byte) error{
	accepted:    func(s *State, n string, b []byte) error { return put(s.Accepted, n, b) },
	progress:    func(s *State, n string, b []byte) error { return put(s.Progress, n, b) },
	attachments: func(s *State, n string, b []byte) error { return put(s.Attachments, n, b) },
	cursors:     func(s *State, n string, b []byte) error { return put(s.SavedCursors, n, b) },
	tombstones:  func(s *State, n string, b []byte) error { return put(s.Tombstones, n, b) },
	readers:     func(s *State, n string, b []byte) error { return put(s.Readers, n, b) },
}

// Set takes the latest value of a key from the changelog.
func (s *State) Set(i Item) error {
	if len(i.Key) < len(accepted) {
		return nil
	}
	f, ok := setters[i.Key[:len(accepted)]]
	if !ok {
		return nil
	}
	return f(s, i.Key[len(accepted):], i.Value)
}

// Senders counts the clients that sent on each topic.
func (s *State) Senders() map[string]int {
	senders := map[string]int{}
	for key := range s.Accepted {
		_, topic, _ := strings.Cut(key, "\x1f")
		senders[topic]++
	}
	return senders
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
