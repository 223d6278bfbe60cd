// Package register implements the Paxos proposer of the control keys. Each key is a replicated
// register that a majority of the voters decides. An epoch is the ballot number. Package acceptor
// (internal/control/acceptor) answers prepare and accept requests. The node that proposes for a key
// is the leader of the key.
//
// A proposer becomes leader of a key by a prepare round under an epoch above all that it has seen.
// It adopts the highest acceptance that a majority reports and has it accepted again under its own
// epoch. From then on a change needs one accept round (multi-Paxos). Requests for a key that
// another live node leads are forwarded to that node.
//
// Invariants:
//   - A change is acknowledged only after a majority has accepted it. An error other than a
//     definite rejection means that the outcome is unknown.
//   - A leader answers a read, and rejects a change for its base version, only after a majority has
//     confirmed that its epoch is still the promised one.
//   - Within a run of the process an epoch is used for one claim only, and only under the voter set
//     that it was promised under.
//   - An accept round that was started continues when its caller gives up, so that the state of the
//     key remains known.
//
// Concurrency: Proposer owns the state of the keys. It is in a sharded map that is locked only for
// the time of an update. Work on one key is serialized: a call holds the key's lock of
// internal/keylock during the calls to the voters, and waits for that lock until its context ends
// at most. A Proposer has no goroutines besides those of a running call, which end with the call or
// with its timeout.
package register
