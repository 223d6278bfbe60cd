// Package controller is the placement controller. It decides which machines have a replica of each
// partition and which of them leads it, and carries out the decommissioning of machines.
//
// One control node runs it at a time: the one that leads the register of Key. In each round it
// reads new records, builds a clusterView of the members and the assignment records, decides on
// changes of records from that view alone, and writes all changes at once to the control registers.
//
// Invariants:
//   - Each change builds on the version of the record that it was decided on. So a controller that
//     has lost its leadership without noticing can't overwrite a later decision.
//   - A leader is replaced only while a majority of the replicas is usable. Replicas change only
//     while the leader of the current epoch has recovered.
//   - The times since when conditions have been observed are reset with each new controller. No
//     action is taken on the absence of a machine before it has lasted long enough.
//   - A decommissioning is done only once no record names the machine and every record was written
//     again after that. Writing them again rejects changes that were decided on before the order
//     was known.
//
// Concurrency: the goroutine of Run owns all state, so there are no locks. It blocks on calls to
// control nodes for at most the recovery time in a round.
package controller
