package node

import (
	"postjunction/internal/event"
	"postjunction/internal/partitionlog/leader"
)

// leaderLog logs what the partition leaders on this node report.
type leaderLog struct{ log *event.Logger }

// DiskFailed logs a failed write of a leader.
func (l leaderLog) DiskFailed(partition int, err error) {
	l.log.Log(event.LeaderDiskFailed, "partition", partition, "problem", err)
}

// LeadershipLost logs the end of a leadership.
func (l leaderLog) LeadershipLost(partition int, epoch uint64, err error) {
	l.log.Log(event.LeaderLost, "partition", partition, "epoch", epoch, "problem", err)
}

// Opened logs a finished recovery.
func (l leaderLog) Opened(partition int, epoch uint64, recovery leader.Recovery) {
	l.log.Log(event.LeaderOpen, "partition", partition, "epoch", epoch,
		"tails", recovery.Tails, "directory", recovery.SnapshotUsed, "replayed", recovery.Replayed,
		"fetched", recovery.Fetched, "reprocessed", recovery.Reprocessed, "keys", recovery.Keys,
		"took", recovery.Duration.String())
}

// StepFailed logs a failed step, which is retried.
func (l leaderLog) StepFailed(partition int, epoch uint64, step string, err error) {
	l.log.Log(event.LeaderStepFailed, "partition", partition, "epoch", epoch, "step", step, "problem", err)
}

// ReaderChanged logs that a node was added as a reader of messages with keys, or was given up as
// one.
func (l leaderLog) ReaderChanged(partition int, epoch uint64, node, bootID string, givenUp bool) {
	changed := event.ReaderNoted
	if givenUp {
		changed = event.ReaderGivenUp
	}
	l.log.Log(changed, "partition", partition, "epoch", epoch, "node", node, "boot", bootID)
}

// TombstonesFull logs that a partition accepts no more withdrawals.
func (l leaderLog) TombstonesFull(partition int, epoch uint64, tombstones int) {
	l.log.Log(event.TombstonesFull, "partition", partition, "epoch", epoch, "tombstones", tombstones)
}
