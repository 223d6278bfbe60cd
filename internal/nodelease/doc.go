// Package nodelease maintains a node's session with one control node, and the lease under which the
// node may serve.
//
// Manager is the node's side. It chooses a control node, sends it a heartbeat at each interval,
// applies the members, voter set and configuration of the response, and moves to another control
// node when heartbeats fail. Server is the control node's side. It records the sessions of the
// nodes that send it heartbeats and exchanges them with the other control nodes, as changes where
// both builds support that.
//
// Invariants:
//   - A lease is granted only for a configuration that a majority of voters confirmed. It is counted
//     from when the heartbeat was sent, less the age of the confirmation.
//   - A node that knows of a newer configuration than its own has no lease extension.
//   - A control node whose list of members may be incomplete (it started recently, is isolated, or
//     has no confirmation) only adds members to a node's view and removes none.
//
// Each side runs one loop until its context ends: Manager.Run, and Server.Run, which starts one
// goroutine for each exchange with another control node. The exported methods are safe for
// concurrent use. No lock is held during a call. Only the Run loops wait for the network.
// Server.Heartbeat answers from memory.
package nodelease
