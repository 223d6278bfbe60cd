package state

import (
	"cmp"
	"encoding/json"
	"slices"

	"postjunction/internal/partitionlog/log"
)

// AcceptedCall is one accepted call: its number, its offset and the digest of its body.
type AcceptedCall struct {
	CallSeq uint64
	Offset  uint64
	Digest  string
}

// MaxAnswers is the most answers that are kept per client and topic, whatever the ledger holds.
const MaxAnswers = 4096

// AcceptedCalls is how far a client's calls on a topic have come. Recent holds the answers to those
// whose messages the ledger still holds, rising by call and offset; it is not written down, since
// the ledger itself tells them (RestoreAnswer). Floor is the highest call whose answer was dropped:
// what is at or below it may have been accepted, what stands between it and Last and is not in
// Recent never was.
type AcceptedCalls struct {
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
func (a AcceptedCalls) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedAccepted{a.Last, a.Generation, &a.Floor})
}

// UnmarshalJSON reads it. A value of an older build has no floor: all up to its last call may have
// been accepted.
func (a *AcceptedCalls) UnmarshalJSON(b []byte) error {
	var stored storedAccepted
	err := json.Unmarshal(b, &stored)
	*a = AcceptedCalls{Last: stored.Last, Generation: stored.Generation, Floor: stored.Last}
	if stored.Floor != nil {
		a.Floor = *stored.Floor
	}
	return err
}

// Find returns the answer kept for a call number.
func (a AcceptedCalls) Find(callSeq uint64) (AcceptedCall, bool) {
	i, ok := slices.BinarySearchFunc(
		a.Recent, callSeq,
		func(t AcceptedCall, callSeq uint64) int { return cmp.Compare(t.CallSeq, callSeq) },
	)
	if !ok {
		return AcceptedCall{}, false
	}
	return a.Recent[i], true
}

func (a *AcceptedCalls) addRecent(call AcceptedCall) {
	a.Recent = append(a.Recent, call)
	if n := len(a.Recent) - MaxAnswers; n > 0 {
		a.Floor = max(a.Floor, a.Recent[n-1].CallSeq)
		a.Recent = a.Recent[n:]
	}
}

// CallDigest returns the name under which a call is known: that of its body, and where it has a key
// also of that and of what it asked.
func CallDigest(what, key, digest string) string {
	if key == "" {
		return digest
	}
	return digest + "\x1f" + what + "\x1f" + key
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
	calls, ok := s.Accepted[key]
	if !ok || entry.CallSeq > calls.Last {
		return
	}
	if n := len(calls.Recent); n > 0 && calls.Recent[n-1].CallSeq >= entry.CallSeq {
		return
	}
	calls.addRecent(AcceptedCall{entry.CallSeq, entry.Offset, CallDigest(entry.Type, entry.Key, entry.Digest)})
	s.Accepted[key] = calls
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
		pruned += s.pruneAnswers(Key(entry.Client, entry.Topic), entry.Offset)
		s.noteTrimmed(entry)
	}
	return pruned
}

// pruneAnswers drops a client's answers on a topic up to an offset and returns how many there were.
func (s *State) pruneAnswers(key string, upTo uint64) int {
	calls, pruned := s.Accepted[key], 0
	for pruned < len(calls.Recent) && calls.Recent[pruned].Offset <= upTo {
		pruned++
	}
	if pruned == 0 {
		return 0
	}
	calls.Floor = max(calls.Floor, calls.Recent[pruned-1].CallSeq)
	calls.Recent = calls.Recent[pruned:]
	if len(calls.Recent) == 0 {
		calls.Recent = nil
	}
	s.Accepted[key] = calls
	s.dirty[accepted+key] = true
	return pruned
}

// noteTrimmed notes that an entry of a topic is no longer held.
func (s *State) noteTrimmed(entry log.Entry) {
	if topic := s.Progress[entry.Topic]; entry.Offset > topic.Trimmed {
		topic.Trimmed = entry.Offset
		s.Progress[entry.Topic] = topic
		s.dirty[progress+entry.Topic] = true
	}
}
