// Package event numbers what a node logs; docs/events.md is its catalogue.
package event

import "github.com/hashicorp/go-hclog"

// Event is a numbered line of the log.
type Event struct {
	Number int
	Level  hclog.Level
	Text   string
}

var all []Event

func entry(n int, l hclog.Level, s string) Event {
	e := Event{n, l, s}
	all = append(all, e)
	return e
}

// All lists every event.
func All() []Event { return all }

// The events, by the part that logs them.
var (
	Started          = entry(100, hclog.Info, "node started")
	Listening        = entry(101, hclog.Info, "listening")
	Stopping         = entry(102, hclog.Info, "stopping: unready, handing duties over")
	StoppedClean     = entry(103, hclog.Info, "stopped")
	SettingsReloaded = entry(104, hclog.Info, "settings file changed: applied")
	SettingsRejected = entry(105, hclog.Warn, "settings file changed: turned away, nothing applied")
	ServeFailed      = entry(106, hclog.Error, "serving failed")
	StartDelayed     = entry(107, hclog.Warn, "start waits for something that may pass by itself")

	DiskNew     = entry(200, hclog.Info, "disk has a new incarnation")
	DiskOpened  = entry(201, hclog.Info, "journal opened")
	DiskTorn    = entry(202, hclog.Warn, "journal ended in a torn tail, cut past the last synced point")
	DiskDamaged = entry(
		203, hclog.Error,
		"journal was damaged before its last synced point; set aside, the disk joins as a new one",
	)
	DiskFailed    = entry(204, hclog.Warn, "disk did not take a write")
	DiskRecovered = entry(205, hclog.Info, "disk takes writes again")
	ScrubDamaged  = entry(206, hclog.Error, "a record on disk was damaged; the journal was rewritten from memory")

	Joined            = entry(300, hclog.Info, "session opened with a control node")
	SessionMoved      = entry(301, hclog.Warn, "session lost, looking for another control node")
	LeaseLost         = entry(302, hclog.Warn, "licence lapsed; serving stops")
	LeaseRegained     = entry(303, hclog.Info, "licence live; serving")
	ClientsRedirected = entry(
		304, hclog.Warn, "those who decide are not reached; visitors are sent to fellows that reach them",
	)
	RedirectEnded        = entry(305, hclog.Info, "those who decide are reached again; visitors may stay")
	Bootstrapped         = entry(310, hclog.Info, "fleet founded")
	BootstrapPending     = entry(311, hclog.Info, "fleet not founded yet")
	VoterSetActivated    = entry(312, hclog.Info, "roster of voters in force")
	VoterSetChange       = entry(313, hclog.Warn, "roster of voters is being changed")
	VoterSetChangeFailed = entry(314, hclog.Warn, "roster change did not finish")

	ConfigurationUpdated  = entry(400, hclog.Info, "description taken up")
	ConfigurationAccepted = entry(401, hclog.Info, "description accepted from an operator")
	ConfigurationFault    = entry(402, hclog.Warn, "description turned away")
	LanesUnchanged        = entry(
		403, hclog.Info, "topics stand in the lane where their lines were, not in the one asked for",
	)

	LeaderRecovering   = entry(500, hclog.Info, "taking a partition over")
	LeaderOpen         = entry(501, hclog.Info, "partition open")
	LeaderLost         = entry(502, hclog.Info, "partition given up")
	LeaderStepFailed   = entry(503, hclog.Warn, "step of a partition's owner is being tried again")
	LeaderDiskFailed   = entry(504, hclog.Warn, "owner's disk did not take entries")
	EpochRenewed       = entry(505, hclog.Info, "asking for a new epoch after a restart")
	OrphanPartition    = entry(506, hclog.Info, "dropped a partition that the record places elsewhere")
	PartitionTakenOver = entry(509, hclog.Warn, "took a partition of a machine that is gone")
	RepairFound        = entry(507, hclog.Warn, "sweep mended control keys that were old on some disk")
	RepairSwept        = entry(508, hclog.Debug, "sweep read the journal through")
	ReaderNoted        = entry(510, hclog.Debug, "a node is noted as a reader of messages under keys")
	ReaderGivenUp      = entry(511, hclog.Warn, "a reader was not heard for too long; withdrawals no longer wait for it")
	TombstonesFull     = entry(512, hclog.Warn, "as many withdrawals stand as may; no more are taken")

	ControllerStarted     = entry(600, hclog.Info, "holding the placement duty")
	ControllerStopped     = entry(601, hclog.Info, "placement duty held elsewhere")
	PartitionPlaced       = entry(602, hclog.Info, "ownership record changed")
	PlacementFailed       = entry(603, hclog.Warn, "ownership record could not be changed")
	DecommissionRequested = entry(604, hclog.Info, "emptying of a machine asked for")
	DecommissionDone      = entry(605, hclog.Info, "machine is empty")
	DecommissionReturned  = entry(606, hclog.Info, "emptied machine returned")
	LeadershipTransferred = entry(607, hclog.Info, "duties handed over")
	DecommissionFailed    = entry(608, hclog.Warn, "the drains could not be read or written")

	StreamFenced = entry(700, hclog.Debug, "stream ended: a newer attachment took over")
	StreamSlow   = entry(701, hclog.Info, "stream ended: its reader was too slow")
	CallRejected = entry(702, hclog.Debug, "call turned away")
)

// Logger writes numbered events.
type Logger struct{ l hclog.Logger }

// NewLogger wraps a logger.
func NewLogger(l hclog.Logger) *Logger { return &Logger{l} }

// Log logs an event with pairs of keys and values.
func (g *Logger) Log(e Event, kv ...any) {
	g.l.Log(e.Level, e.Text, append([]any{"event", e.Number}, kv...)...)
}

// Level sets what is logged from now on.
func (g *Logger) Level(s string) { g.l.SetLevel(hclog.LevelFromString(s)) }
