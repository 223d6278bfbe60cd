// Package operator serves operators on one node. It changes and reads the configuration, shows the
// state of the fleet, explains the outcome of calls, and decommissions machines.
//
// Invariants:
//   - A final answer to an operator's call is based on a value that a majority of voters confirmed
//     after the call began; see confirmed.
//   - An order is accepted at most once, however often it is sent and to whichever nodes. All
//     attempts have the same change ID, and the register remembers the accepted orders (package
//     orderlog).
//   - If an attempt may have been accepted, the answer is that the outcome is unknown, never a
//     rejection.
//
// Service has no state but the Parser of this node, and no goroutines but those of its concurrent
// calls to other nodes. All methods block until they have an answer, for at most deadlineFactor
// call timeouts. They are safe for concurrent use.
package operator
