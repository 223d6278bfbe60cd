// Package settings holds the settings of a node: read, checked with exact messages, and turned into times.
package settings

import "time"

// Timing are the three times that all others are ratios of.
type Timing struct {
	Keeping  time.Duration
	Spread   time.Duration
	Recovery time.Duration
}

// DefaultTiming are those of the brief.
var DefaultTiming = Timing{Keeping: 35 * time.Second, Spread: 3 * time.Second, Recovery: 12 * time.Second}

const (
	heartbeatShare  = 10
	slowShare       = 60
	sessionShare    = 6
	callShare       = 8
	jitterShare     = 40
	holdShare       = 3
	settleShare     = 4
	marginShare     = 5
	leasePercent    = 80
	apartShare      = 3
	stopPercent     = 40
	handPercent     = 10
	repairShare     = 1
	sweepShare      = 4
	previousShare   = 48
	beatShare       = 80
	silentShare     = 16
	againShare      = 120
	hedgeShare      = 48
	handShare       = 24
	tendShare       = 24
	retryShare      = 60
	soonShare       = 480
	eagerShare      = 6
	changelogShare  = 6
	changelogAtMost = 2
	keptMost        = 10
	growMost        = 8
)

// HeartbeatInterval is how often a node renews its session and gossips.
func (b Timing) HeartbeatInterval() time.Duration { return b.Spread / heartbeatShare }

// LeaseDuration is how long a confirmation of the description lets a node serve.
func (b Timing) LeaseDuration() time.Duration { return b.Spread * leasePercent / 100 }

// IsolationTimeout is how long no majority may answer a control node before those whose session is with it look for another one: less than three heartbeats, hence than a session,
// by whose end it would take members for gone that others still hear.
func (b Timing) IsolationTimeout() time.Duration { return b.LeaseDuration() / apartShare }

// SessionTimeout is how long a silent node stays a member.
func (b Timing) SessionTimeout() time.Duration { return b.Recovery / sessionShare }

// CallTimeout is the deadline of one call between nodes.
func (b Timing) CallTimeout() time.Duration { return b.Recovery / callShare }

// ClaimJitter is the widest pause before a claim.
func (b Timing) ClaimJitter() time.Duration { return b.Recovery / jitterShare }

// LongPoll is how long a read waits for news.
func (b Timing) LongPoll() time.Duration { return b.Spread / holdShare }

// SlowThreshold is how long a machine's heartbeats may take before it counts as slow, if that is also much longer than usual.
func (b Timing) SlowThreshold() time.Duration { return b.Spread / slowShare }

// SlowFactor is how much longer than usual the heartbeats of a slow machine take.
const SlowFactor = 8

// TakeoverTimeout is how long a take-over may take before another store is tried.
func (b Timing) TakeoverTimeout() time.Duration { return b.Recovery / settleShare }

// Retention is how long entries stay, the keeping time with a margin.
func (b Timing) Retention() time.Duration { return b.Keeping + b.Keeping/marginShare }

// MaxRetention is the longest that a space may ask to keep for.
func (b Timing) MaxRetention() time.Duration { return keptMost * b.Keeping }

// RetentionFor is Kept where spaces ask for up to that long.
func (b Timing) RetentionFor(longest time.Duration) time.Duration {
	b.Keeping = max(b.Keeping, min(longest, b.MaxRetention()))
	return b.Retention()
}

// ShutdownTimeout is the longest a stopping node takes, inside the platform's 6 s.
func (b Timing) ShutdownTimeout() time.Duration { return b.Recovery * stopPercent / 100 }

// TransferTimeout is the part of Stop for giving duties away.
func (b Timing) TransferTimeout() time.Duration { return b.Recovery * handPercent / 100 }

// ReplacementDelay is how long a lost copy is waited for before another machine takes its place.
func (b Timing) ReplacementDelay() time.Duration { return b.Keeping / repairShare }

// SweepInterval is the pace of the repair sweep over one partition.
func (b Timing) SweepInterval() time.Duration { return b.Keeping / sweepShare }

// PingInterval is how often the machines that share partitions look after one another.
func (b Timing) PingInterval() time.Duration { return b.Recovery / beatShare }

// FailureTimeout is how long a machine that is looked after and answers promptly may be silent before its partitions go to their successors.
func (b Timing) FailureTimeout() time.Duration { return b.Recovery / silentShare }

// RefusalRetryDelay is the pause before a port that turned a call away is tried once more; if it does so again, its process is gone.
func (b Timing) RefusalRetryDelay() time.Duration { return b.Recovery / againShare }

// HedgeDelay is how long a control call may be unanswered before the next control node is asked as well.
func (b Timing) HedgeDelay() time.Duration { return b.Recovery / hedgeShare }

// ForwardTimeout is how long the holder of a key may take for a call that was handed over to it.
func (b Timing) ForwardTimeout() time.Duration { return b.Recovery / handShare }

// PreviousLeaderWait is how long a partition waits for the machine that had it.
func (b Timing) PreviousLeaderWait() time.Duration { return b.Recovery / previousShare }

// ReconcileInterval is the pace of the placement duty.
func (b Timing) ReconcileInterval() time.Duration { return b.Recovery / tendShare }

// MaxBackoff is the pause before a failed step between nodes is tried again.
func (b Timing) MaxBackoff() time.Duration { return b.Recovery / retryShare }

// InitialBackoff is the first pause before a step that failed is tried again; further ones grow up to Retry.
func (b Timing) InitialBackoff() time.Duration { return b.Recovery / soonShare }

// Backoff gives the pause before the next try of a step that failed tries times in a row.
func (b Timing) Backoff(tries int) time.Duration {
	return min(b.InitialBackoff()<<(min(tries, growMost)/2), b.MaxBackoff())
}

// EagerHeartbeatInterval is the pace of heartbeats while a node waits for its first lease.
func (b Timing) EagerHeartbeatInterval() time.Duration { return b.HeartbeatInterval() / eagerShare }

// ChangelogInterval is the default interval of changelog batches.
func (b Timing) ChangelogInterval() time.Duration { return b.Recovery / changelogShare }

// MaxFailover is the longest a loss may leave callers without service by these ratios:
// session, claim, the wait for the previous machine, the pace of placement and a take-over.
func (b Timing) MaxFailover() time.Duration {
	return b.SessionTimeout() + b.ClaimJitter() + b.PreviousLeaderWait() + b.ReconcileInterval() + 2*b.CallTimeout() + b.TakeoverTimeout()
}

func (b Timing) check() []Fault {
	var f []Fault
	add := func(ok bool, field, say string) {
		if !ok {
			f = append(f, Fault{Field: field, Message: say})
		}
	}
	add(b.Keeping >= time.Second && b.Keeping <= time.Hour, "keeping", "must be from 1s to 1h, is "+b.Keeping.String())
	add(b.Spread >= 500*time.Millisecond && b.Spread <= time.Minute, "spread", "must be from 500ms to 1m, is "+b.Spread.String())
	add(b.Recovery >= 2*time.Second && b.Recovery <= 5*time.Minute, "recovery", "must be from 2s to 5m, is "+b.Recovery.String())
	if len(f) > 0 {
		return f
	}
	add(b.MaxFailover() <= b.Recovery, "recovery", "the steps after a loss add up to "+b.MaxFailover().String()+", more than "+b.Recovery.String())
	add(b.LeaseDuration()+b.HeartbeatInterval() <= b.Spread, "spread", "licence and pulse add up to more than the spread")
	add(b.HeartbeatInterval()*3 <= b.SessionTimeout(), "spread", "three pulses ("+(3*b.HeartbeatInterval()).String()+") must fit into a session ("+b.SessionTimeout().String()+"); raise recovery or lower spread")
	add(b.Keeping >= 2*b.Recovery, "keeping", "must be at least twice recovery ("+(2*b.Recovery).String()+") so that callers outlast a loss, is "+b.Keeping.String())
	return f
}
