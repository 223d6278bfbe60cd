// Package event numbers what a node logs; docs/events.md is its catalogue.
package event

import "github.com/hashicorp/go-hclog"

// Event is a log event with its stable number.
type Event struct {
	Number int
	Level  hclog.Level
	Text   string
}

var all []Event

func entry(number int, level hclog.Level, text string) Event {
	event := Event{number, level, text}
	all = append(all, event)
	return event
}

// All lists every event.
func All() []Event { return all }

// The events, by the component that logs them.
var (
	Started          = entry(100, hclog.Info, "node started")
	Listening        = entry(101, hclog.Info, "listening")
	Stopping         = entry(102, hclog.Info, "stopping: not ready any more, transferring leadership")
	StoppedClean     = entry(103, hclog.Info, "stopped")
	SettingsReloaded = entry(104, hclog.Info, "settings file changed: applied")
	SettingsRejected = entry(105, hclog.Warn, "settings file changed: rejected, nothing applied")
	ServeFailed      = entry(106, hclog.Error, "serving failed")
	StartDelayed     = entry(107, hclog.Warn, "start is delayed by a condition that may clear by itself")

	DiskNew     = entry(200, hclog.Info, "disk has a new incarnation")
	DiskOpened  = entry(201, hclog.Info, "journal opened")
	DiskTorn    = entry(202, hclog.Warn, "journal ended in a torn tail, truncated after the last synced record")
	DiskDamaged = entry(
		203, hclog.Error,
		"journal was damaged before its last synced record; set aside, the disk joins as a new one",
	)
	DiskFailed    = entry(204, hclog.Warn, "write to the disk failed")
	DiskRecovered = entry(205, hclog.Info, "writes to the disk succeed again")
	ScrubDamaged  = entry(206, hclog.Error, "a record on disk was damaged; the journal was rewritten from memory")

	Joined            = entry(300, hclog.Info, "session with a control node opened")
	SessionMoved      = entry(301, hclog.Warn, "session lost, looking for another control node")
	LeaseLost         = entry(302, hclog.Warn, "lease expired; serving stops")
	LeaseRegained     = entry(303, hclog.Info, "lease valid; serving")
	ClientsRedirected = entry(
		304, hclog.Warn, "no partition leader is reachable; clients are redirected to nodes that reach them",
	)
	RedirectEnded = entry(
		305, hclog.Info, "partition leaders are reachable again; clients are no longer redirected",
	)
	Bootstrapped         = entry(310, hclog.Info, "fleet bootstrapped")
	BootstrapPending     = entry(311, hclog.Info, "fleet not bootstrapped yet")
	VoterSetActivated    = entry(312, hclog.Info, "voter set activated")
	VoterSetChange       = entry(313, hclog.Warn, "voter set is being changed")
	VoterSetChangeFailed = entry(314, hclog.Warn, "change of the voter set did not finish")

	ConfigurationUpdated  = entry(400, hclog.Info, "configuration applied")
	ConfigurationAccepted = entry(401, hclog.Info, "configuration accepted from an operator")
	ConfigurationFault    = entry(402, hclog.Warn, "configuration rejected")
	LanesUnchanged        = entry(
		403, hclog.Info, "topics remain in the lane of their existing logs, not in the one requested",
	)

	LeaderRecovering   = entry(500, hclog.Info, "recovering a partition as its leader")
	LeaderOpen         = entry(501, hclog.Info, "partition open")
	LeaderLost         = entry(502, hclog.Info, "leadership of a partition lost")
	LeaderStepFailed   = entry(503, hclog.Warn, "step of a partition leader failed and is retried")
	LeaderDiskFailed   = entry(504, hclog.Warn, "partition leader's disk failed to write entries")
	EpochRenewed       = entry(505, hclog.Info, "requesting a new epoch after a restart")
	OrphanPartition    = entry(506, hclog.Info, "dropped a partition that its record assigns to other nodes")
	PartitionTakenOver = entry(509, hclog.Warn, "took over the partition of an unreachable leader")
	RepairFound        = entry(507, hclog.Warn, "sweep repaired control keys that were stale on some disk")
	RepairSwept        = entry(508, hclog.Debug, "sweep read the whole journal")
	ReaderNoted        = entry(510, hclog.Debug, "a node is recorded as a reader of keyed messages")
	ReaderGivenUp      = entry(511, hclog.Warn, "a reader was silent for too long; withdrawals no longer wait for it")
	TombstonesFull     = entry(512, hclog.Warn, "limit of tombstones reached; further withdrawals are rejected")

	ControllerStarted     = entry(600, hclog.Info, "placement controller started")
	ControllerStopped     = entry(601, hclog.Info, "placement controller stopped on this node")
	PartitionPlaced       = entry(602, hclog.Info, "assignment record changed")
	PlacementFailed       = entry(603, hclog.Warn, "assignment record could not be changed")
	DecommissionRequested = entry(604, hclog.Info, "decommissioning of a machine requested")
	DecommissionDone      = entry(605, hclog.Info, "decommissioning done; the machine is empty")
	DecommissionReturned  = entry(606, hclog.Info, "decommissioned machine returned")
	LeadershipTransferred = entry(607, hclog.Info, "leadership transferred")
	DecommissionFailed    = entry(608, hclog.Warn, "decommission orders could not be read or written")

	StreamFenced = entry(700, hclog.Debug, "stream ended: a newer attachment took over")
	StreamSlow   = entry(701, hclog.Info, "stream ended: its reader was too slow")
	CallRejected = entry(702, hclog.Debug, "call rejected")
)

// Logger logs events with their numbers.
type Logger struct{ logger hclog.Logger }

// NewLogger returns a Logger that writes to logger.
func NewLogger(logger hclog.Logger) *Logger { return &Logger{logger} }

// Log logs an event with pairs of keys and values.
func (g *Logger) Log(event Event, pairs ...any) {
	g.logger.Log(event.Level, event.Text, append([]any{"event", event.Number}, pairs...)...)
}

// Level sets the level from which events are logged.
func (g *Logger) Level(level string) { g.logger.SetLevel(hclog.LevelFromString(level)) }
