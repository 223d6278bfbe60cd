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

// MaxAnswers is the most answers that are stored per client and topic, however many messages the
// partition log has.
const MaxAnswers = 4096

// AcceptedCalls are the accepted calls of a client on a topic. Last is the highest call number that
// was accepted, or that a withdrawal passed. Recent holds the answers to the calls whose messages
// the partition log still has, in ascending order of call and offset. It is not encoded, since
// RestoreAnswer rebuilds it from the log. Floor is the highest call whose answer was dropped. A
// call at or below Floor may have been accepted. A call between Floor and Last that is not in
// Recent was never accepted.
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

// MarshalJSON encodes what can not be rebuilt from the partition log: all but Recent.
func (a AcceptedCalls) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedAccepted{a.Last, a.Generation, &a.Floor})
}

// UnmarshalJSON decodes the result of MarshalJSON. A value of an older build has no floor. All
// calls up to its last one may have been accepted, so that is the floor.
func (a *AcceptedCalls) UnmarshalJSON(b []byte) error {
	var stored storedAccepted
	err := json.Unmarshal(b, &stored)
	*a = AcceptedCalls{Last: stored.Last, Generation: stored.Generation, Floor: stored.Last}
	if stored.Floor != nil {
		a.Floor = *stored.Floor
	}
	return err
}

// Find returns the answer that is stored for a call number.
func (a AcceptedCalls) Find(callSeq uint64) (AcceptedCall, bool) {
	i, ok := slices.BinarySearchFunc(
		a.Recent, callSeq,
		func(call AcceptedCall, callSeq uint64) int { return cmp.Compare(call.CallSeq, callSeq) },
	)
	if !ok {
		return AcceptedCall{}, false
	}
	return a.Recent[i], true
}

func (a *AcceptedCalls) addRecent(call AcceptedCall) {
	a.Recent = append(a.Recent, call)
	if surplus := len(a.Recent) - MaxAnswers; surplus > 0 {
		a.Floor = max(a.Floor, a.Recent[surplus-1].CallSeq)
		a.Recent = a.Recent[surplus:]
	}
}

// CallDigest returns the digest that identifies what a call asked for: that of its body, and for a
// call with a key also the type of its entry and the key.
func CallDigest(entryType, key, digest string) string {
	if key == "" {
		return digest
	}
	return digest + "\x1f" + entryType + "\x1f" + key
}

// RestoreAnswer restores the answer to an entry of the partition log that the encoded state already
// includes. Entries come in the order of the log. The tombstone of a withdrawal is restored with
// its entry: another leader may have dropped it, but it covers messages that this log still has.
func (s *State) RestoreAnswer(entry log.Entry) {
	if !hasCallNumber[entry.Type] {
		return
	}
	s.updateLastKeyed(entry)
	if entry.Type == log.TypeWithdrawal {
		s.addTombstone(entry)
	}
	key := Key(entry.Client, entry.Topic)
	calls, ok := s.Accepted[key]
	if !ok || entry.CallSeq > calls.Last {
		return
	}
	if count := len(calls.Recent); count > 0 && calls.Recent[count-1].CallSeq >= entry.CallSeq {
		return
	}
	calls.addRecent(AcceptedCall{entry.CallSeq, entry.Offset, CallDigest(entry.Type, entry.Key, entry.Digest)})
	s.Accepted[key] = calls
}

// hasCallNumber holds the types of the entries that have a client's call number.
var hasCallNumber = map[string]bool{log.TypeMessage: true, log.TypeWithdrawal: true}

// Prune drops the answers to entries that the partition log is about to drop, in the order of their
// offsets, and records per topic what was trimmed. The last call number is stored forever, so
// nothing is ever accepted twice. It returns how many answers were dropped.
func (s *State) Prune(entries ...log.Entry) int {
	pruned := 0
	for _, entry := range entries {
		if !hasCallNumber[entry.Type] {
			continue
		}
		if entry.Key != "" {
			s.pruneLastKeyed(entry)
		}
		pruned += s.pruneAnswers(Key(entry.Client, entry.Topic), entry.Offset)
		s.recordTrimmed(entry)
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
	s.dirty[acceptedPrefix+key] = true
	return pruned
}

// recordTrimmed records that an entry of a topic is trimmed.
func (s *State) recordTrimmed(entry log.Entry) {
	if progress := s.Progress[entry.Topic]; entry.Offset > progress.Trimmed {
		progress.Trimmed = entry.Offset
		s.Progress[entry.Topic] = progress
		s.dirty[progressPrefix+entry.Topic] = true
	}
}
