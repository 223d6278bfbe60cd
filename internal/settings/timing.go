// Package settings defines the settings of a node. It reads them from a file and from flags, checks
// them, and derives the node's times from them.
//
// Invariants: operators and deploy files rely on the names of fields and flags, and on the
// messages. All times but keeping, spread and recovery are fractions of these three, and Check
// rejects values for which the fractions don't add up.
//
// Options and Timing are plain values. Nothing here locks, blocks or starts goroutines.
package settings

import "time"

// Timing are the three times that all others are fractions of. Keeping is how long messages are
// stored. Spread is the time within which a configuration reaches every node. Recovery is the time
// within which service resumes after the loss of a machine.
type Timing struct {
	Keeping  time.Duration
	Spread   time.Duration
	Recovery time.Duration
}

// DefaultTiming are the times that the product was specified with.
var DefaultTiming = Timing{Keeping: 35 * time.Second, Spread: 3 * time.Second, Recovery: 12 * time.Second}

// Fractions of the spread.
const (
	heartbeatFraction = 10
	slowFraction      = 60
	longPollFraction  = 3
	leasePercent      = 80
)

// Fractions of recovery.
const (
	sessionFraction        = 6
	callFraction           = 8
	jitterFraction         = 40
	takeoverFraction       = 4
	shutdownPercent        = 40
	transferPercent        = 10
	pingFraction           = 80
	failureFraction        = 16
	refusalRetryFraction   = 120
	hedgeFraction          = 48
	forwardFraction        = 24
	previousLeaderFraction = 48
	reconcileFraction      = 24
	maxBackoffFraction     = 60
	initialBackoffFraction = 480
	changelogFraction      = 6
)

// Fractions and multiples of keeping.
const (
	retentionMargin      = 5
	replacementFraction  = 1
	sweepFraction        = 4
	maxChangelogFraction = 2
	maxRetentionFactor   = 10
)

const (
	isolationFraction = 3 // of the lease
	eagerFraction     = 6 // of the heartbeat interval
	maxBackoffTries   = 8 // attempts after which a backoff no longer grows
)

// HeartbeatInterval is the interval at which a node renews its session and gossips.
func (t Timing) HeartbeatInterval() time.Duration { return t.Spread / heartbeatFraction }

// LeaseDuration is how long a node may serve after its configuration was confirmed.
func (t Timing) LeaseDuration() time.Duration { return t.Spread * leasePercent / 100 }

// IsolationTimeout is how long a control node may get no answer from a majority before the nodes
// with a session at it look for another control node. It is less than three heartbeats, and so less
// than a session. At the end of the session the control node would consider members failed that
// other control nodes reach.
func (t Timing) IsolationTimeout() time.Duration { return t.LeaseDuration() / isolationFraction }

// SessionTimeout is how long a silent node remains a member.
func (t Timing) SessionTimeout() time.Duration { return t.Recovery / sessionFraction }

// CallTimeout is the deadline of one call between nodes.
func (t Timing) CallTimeout() time.Duration { return t.Recovery / callFraction }

// ClaimJitter is the longest random pause before a claim.
func (t Timing) ClaimJitter() time.Duration { return t.Recovery / jitterFraction }

// LongPoll is how long a read waits for updates.
func (t Timing) LongPoll() time.Duration { return t.Spread / longPollFraction }

// SlowThreshold is how long a node's heartbeats may take before it counts as slow. They must also
// take SlowFactor times as long as usual.
func (t Timing) SlowThreshold() time.Duration { return t.Spread / slowFraction }

// SlowFactor is how many times longer than usual the heartbeats of a slow node take.
const SlowFactor = 8

// TakeoverTimeout is how long a take-over of a partition may take before another storage node is
// tried.
func (t Timing) TakeoverTimeout() time.Duration { return t.Recovery / takeoverFraction }

// Retention is how long log entries are stored: the keeping time plus a margin.
func (t Timing) Retention() time.Duration { return t.Keeping + t.Keeping/retentionMargin }

// MaxRetention is the longest retention that a space may ask for.
func (t Timing) MaxRetention() time.Duration { return maxRetentionFactor * t.Keeping }

// RetentionFor is Retention for a fleet whose spaces ask for up to longest.
func (t Timing) RetentionFor(longest time.Duration) time.Duration {
	t.Keeping = max(t.Keeping, min(longest, t.MaxRetention()))
	return t.Retention()
}

// ShutdownTimeout is the longest that a graceful shutdown takes. It is within the 6 s that the
// platform allows.
func (t Timing) ShutdownTimeout() time.Duration { return t.Recovery * shutdownPercent / 100 }

// TransferTimeout is the part of ShutdownTimeout for transferring leaderships and singleton roles.
func (t Timing) TransferTimeout() time.Duration { return t.Recovery * transferPercent / 100 }

// ReplacementDelay is how long a lost replica may be missing before it is replaced on another node.
func (t Timing) ReplacementDelay() time.Duration { return t.Keeping / replacementFraction }

// SweepInterval is the interval of the repair sweep over one partition.
func (t Timing) SweepInterval() time.Duration { return t.Keeping / sweepFraction }

// PingInterval is the interval of health checks between nodes with replicas of the same partitions.
func (t Timing) PingInterval() time.Duration { return t.Recovery / pingFraction }

// FailureTimeout is how long a node that usually answers health checks promptly may be silent
// before its partitions fail over.
func (t Timing) FailureTimeout() time.Duration { return t.Recovery / failureFraction }

// RefusalRetryDelay is the pause before a port that refused a connection is tried once more. If it
// refuses again, its process has ended.
func (t Timing) RefusalRetryDelay() time.Duration { return t.Recovery / refusalRetryFraction }

// HedgeDelay is how long a control call may be unanswered before it is sent to the next control
// node as well.
func (t Timing) HedgeDelay() time.Duration { return t.Recovery / hedgeFraction }

// ForwardTimeout is how long a key leader may take for a call that was forwarded to it.
func (t Timing) ForwardTimeout() time.Duration { return t.Recovery / forwardFraction }

// PreviousLeaderWait is how long a partition waits for its previous leader to return.
func (t Timing) PreviousLeaderWait() time.Duration { return t.Recovery / previousLeaderFraction }

// ReconcileInterval is the interval at which the placement controller reconciles.
func (t Timing) ReconcileInterval() time.Duration { return t.Recovery / reconcileFraction }

// MaxBackoff is the longest pause before a failed step between nodes is retried.
func (t Timing) MaxBackoff() time.Duration { return t.Recovery / maxBackoffFraction }

// InitialBackoff is the first pause before a failed step is retried; further ones grow up to
// MaxBackoff.
func (t Timing) InitialBackoff() time.Duration { return t.Recovery / initialBackoffFraction }

// Backoff returns the pause before the next attempt at a step that has failed tries times in a row.
func (t Timing) Backoff(tries int) time.Duration {
	return min(t.InitialBackoff()<<(min(tries, maxBackoffTries)/2), t.MaxBackoff())
}

// EagerHeartbeatInterval is the interval of heartbeats until a node has its first lease.
func (t Timing) EagerHeartbeatInterval() time.Duration { return t.HeartbeatInterval() / eagerFraction }

// ChangelogInterval is the default interval of changelog batches.
func (t Timing) ChangelogInterval() time.Duration { return t.Recovery / changelogFraction }

// MaxFailover is the longest that the loss of a machine may interrupt the service to clients. It is
// the sum of the session, the claim, the wait for the previous leader, the interval of placement,
// two calls, and a take-over.
func (t Timing) MaxFailover() time.Duration {
	return t.SessionTimeout() + t.ClaimJitter() + t.PreviousLeaderWait() + t.ReconcileInterval() +
		2*t.CallTimeout() + t.TakeoverTimeout()
}

func (t Timing) check() []Fault {
	var c checker
	c.require(t.Keeping >= time.Second && t.Keeping <= time.Hour, "keeping", "must be from 1s to 1h, is %s", t.Keeping)
	c.require(t.Spread >= 500*time.Millisecond && t.Spread <= time.Minute, "spread",
		"must be from 500ms to 1m, is %s", t.Spread)
	c.require(t.Recovery >= 2*time.Second && t.Recovery <= 5*time.Minute, "recovery",
		"must be from 2s to 5m, is %s", t.Recovery)
	if len(c.faults) > 0 {
		return c.faults
	}
	c.require(t.MaxFailover() <= t.Recovery, "recovery", "the steps after a loss add up to %s, more than %s",
		t.MaxFailover(), t.Recovery)
	c.require(t.LeaseDuration()+t.HeartbeatInterval() <= t.Spread, "spread",
		"lease and heartbeat interval add up to more than the spread")
	c.require(t.HeartbeatInterval()*3 <= t.SessionTimeout(), "spread",
		"three heartbeats (%s) must fit into a session (%s); raise recovery or lower spread",
		3*t.HeartbeatInterval(), t.SessionTimeout())
	c.require(t.Keeping >= 2*t.Recovery, "keeping",
		"must be at least twice recovery (%s) so that clients can wait out a loss, is %s",
		2*t.Recovery, t.Keeping)
	return c.faults
}
