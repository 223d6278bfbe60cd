// Package operator is the service to operators on one node: it changes and reads the configuration,
// shows the state of the fleet, explains calls, and asks for machines to be decommissioned.
//
// Invariants:
//   - An answer that ends an operator's call for good rests on a value that a majority of voters
//     confirmed after the call began; see confirmed.
//   - An order is accepted at most once, however often and wherever it is tried: all attempts write under
//     the same change, and the register remembers the accepted orders (package orderlog).
//   - Where an attempt may have been accepted, the answer is that the outcome is unknown, never a
//     rejection.
//
// Service holds no state but the Parser of this node. It has no goroutines of its own beside those
// of the calls that it makes at once. All methods block until their answer is there, for at most
// deadlineFactor call time-outs, and are safe for concurrent use.
package operator
