// Package acceptor is the voter of a control node: the Paxos acceptor of every control key. It
// promises epochs and accepts values for proposers (internal/control/register), under the voter set
// that its disk was activated for.
//
// What must stay true:
//   - A promise or an acceptance is synced to disk before it is answered, also when the caller has
//     given up by then.
//   - Requests for another disk (WrongDisk) or another voter set (StaleVoterSet) change nothing: a
//     wiped disk has no vote under its old name, and a voter set that was superseded decides
//     nothing.
//   - Once a value of VoterSetKey is accepted the voter set is sealed: no other key is promised or
//     accepted under it until the next one is activated, whose number is higher.
//
// What may be promised and accepted is decided by the pure functions of slot.go. Acceptor owns the
// slots and the voter set; the records of its journal are the same state on disk. Its methods run
// in the goroutines of the callers and block for the sync, with the lock of their key held: it is
// passed on to the journal, which releases it when the record stands, so that a caller that gives
// up never leaves a stale slot behind for the next one.
package acceptor
