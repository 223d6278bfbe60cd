// Package controller places the partitions: it decides which machines hold a replica of each
// partition and which of them leads it, and carries out the decommissioning of machines.
//
// One control node runs it at a time, the one that leads the register of Key. In each round it
// reads what changed, makes a clusterView of the members and the assignment records, decides on
// changes of records from that view alone, and writes them all at once to the control registers.
//
// Invariants:
//   - Each change builds on the version of the record that it was decided on, so a controller that lost
//     its leadership without knowing can't overwrite a later decision.
//   - A leader is replaced only while a majority of the replicas is usable, and replicas change only
//     while the leader of the present epoch has recovered.
//   - Times since when something has been observed begin anew with each controller. Nothing is done on
//     the absence of a machine before it has lasted long enough.
//   - A decommissioning is done only once no record names the machine and every record was written again
//     after that, which rejects changes that were decided on before the order was known.
//
// Run is the only goroutine; it owns all state, so there are no locks. It blocks on calls to
// control nodes, for no longer than the recovery time in a round.
package controller
