// Package register is the proposer of the control keys: replicated registers, each decided by a
// majority of the voters as in Paxos. An epoch is the ballot number, internal/control/acceptor
// answers prepare and accept requests, and the node that proposes for a key is its leader.
//
// A proposer becomes leader of a key by a prepare round under an epoch above all that it has seen.
// It adopts the highest acceptance that a majority reports, has it accepted again under its own
// epoch, and from then on needs one accept round for a change (multi-Paxos). Requests for a key
// that another live node leads are forwarded to it.
//
// What must stay true:
//   - A change is answered only after a majority has accepted it; an error other than a clear
//     refusal says that the outcome is unknown.
//   - A leader answers a read, and refuses a change for its base version, only after a majority has
//     confirmed that its epoch is still the promised one.
//   - Within a run of the process an epoch is used for one claim only, and only under the voter set
//     that it was promised under.
//   - An accept round that began runs on when its caller gives up, so that the state of the key
//     stays known.
//
// Proposer owns the state of the keys, in a sharded map that is locked only for the time of an
// edit. Work on one key is done one at a time: whoever proposes holds the key's lock of
// internal/keylock over the calls to the voters, and waits for it no longer than its context. There
// are no goroutines of its own besides those of a running call, which end with the call or with its
// timeout.
package register
