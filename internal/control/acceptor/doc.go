// Package acceptor implements the voter of a control node: the Paxos acceptor of all control keys.
// It promises epochs and accepts values for proposers (internal/control/register), under the voter
// set that is active on its disk.
//
// Invariants:
//   - A promise or an acceptance is synced to disk before the response is sent. It is also synced
//     if the caller has given up by then.
//   - Requests for another disk (WrongDisk) or another voter set (StaleVoterSet) change nothing. A
//     wiped disk has no vote under its old incarnation, and a superseded voter set decides nothing.
//   - Once a value of VoterSetKey is accepted the voter set is sealed: no other key is promised or
//     accepted under it until the next voter set is activated, which has a higher sequence.
//
// The pure functions of slot.go decide what may be promised and accepted. Acceptor owns the slots
// and the voter set. The records of its journal are the same state on disk.
//
// Concurrency: the methods run in the goroutines of their callers and block until the sync, with
// the lock of their key held. The lock is shared with the journal, which releases it once the
// record is written. So a caller that gives up never leaves a stale slot to the next caller.
package acceptor
