// Package settings holds the settings of a node: read, checked with exact messages, and turned into times.
package settings

import "time"

// Bounds are the three times that all others are ratios of.
type Bounds struct {
	Keeping  time.Duration
	Spread   time.Duration
	Recovery time.Duration
}

// DefaultBounds are those of the brief.
var DefaultBounds = Bounds{Keeping: 35 * time.Second, Spread: 3 * time.Second, Recovery: 12 * time.Second}

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

// Heartbeat is how often a node renews its session and gossips.
func (b Bounds) Heartbeat() time.Duration { return b.Spread / heartbeatShare }

// Lease is how long a confirmation of the description lets a node serve.
func (b Bounds) Lease() time.Duration { return b.Spread * leasePercent / 100 }

// Apart is how long no majority may answer a control node before those whose session is with it look for another one: less than three heartbeats, hence than a session,
// by whose end it would take members for gone that others still hear.
func (b Bounds) Apart() time.Duration { return b.Lease() / apartShare }

// Session is how long a silent node stays a member.
func (b Bounds) Session() time.Duration { return b.Recovery / sessionShare }

// Call is the deadline of one call between nodes.
func (b Bounds) Call() time.Duration { return b.Recovery / callShare }

// Jitter is the widest pause before a claim.
func (b Bounds) Jitter() time.Duration { return b.Recovery / jitterShare }

// Hold is how long a read waits for news.
func (b Bounds) Hold() time.Duration { return b.Spread / holdShare }

// Slow is how long a machine's heartbeats may take before it counts as slow, if that is also much longer than usual.
func (b Bounds) Slow() time.Duration { return b.Spread / slowShare }

// SlowTimes is how much longer than usual the heartbeats of a slow machine take.
const SlowTimes = 8

// Settle is how long a take-over may take before another store is tried.
func (b Bounds) Settle() time.Duration { return b.Recovery / settleShare }

// Kept is how long entries stay, the keeping time with a margin.
func (b Bounds) Kept() time.Duration { return b.Keeping + b.Keeping/marginShare }

// KeptMost is the longest that a space may ask to keep for.
func (b Bounds) KeptMost() time.Duration { return keptMost * b.Keeping }

// KeptFor is Kept where spaces ask for up to that long.
func (b Bounds) KeptFor(longest time.Duration) time.Duration {
	b.Keeping = max(b.Keeping, min(longest, b.KeptMost()))
	return b.Kept()
}

// Stop is the longest a stopping node takes, inside the platform's 6 s.
func (b Bounds) Stop() time.Duration { return b.Recovery * stopPercent / 100 }

// HandOver is the part of Stop for giving duties away.
func (b Bounds) HandOver() time.Duration { return b.Recovery * handPercent / 100 }

// Repair is how long a lost copy is waited for before another machine takes its place.
func (b Bounds) Repair() time.Duration { return b.Keeping / repairShare }

// Sweep is the pace of the repair sweep over one partition.
func (b Bounds) Sweep() time.Duration { return b.Keeping / sweepShare }

// Beat is how often the machines that share partitions look after one another.
func (b Bounds) Beat() time.Duration { return b.Recovery / beatShare }

// Silent is how long a machine that is looked after and answers promptly may be silent before its partitions go to their successors.
func (b Bounds) Silent() time.Duration { return b.Recovery / silentShare }

// Again is the pause before a port that turned a call away is tried once more; if it does so again, its process is gone.
func (b Bounds) Again() time.Duration { return b.Recovery / againShare }

// Hedge is how long a control call may be unanswered before the next control node is asked as well.
func (b Bounds) Hedge() time.Duration { return b.Recovery / hedgeShare }

// Hand is how long the holder of a key may take for a call that was handed over to it.
func (b Bounds) Hand() time.Duration { return b.Recovery / handShare }

// Previous is how long a partition waits for the machine that had it.
func (b Bounds) Previous() time.Duration { return b.Recovery / previousShare }

// Tend is the pace of the placement duty.
func (b Bounds) Tend() time.Duration { return b.Recovery / tendShare }

// Retry is the pause before a failed step between nodes is tried again.
func (b Bounds) Retry() time.Duration { return b.Recovery / retryShare }

// Soon is the first pause before a step that failed is tried again; further ones grow up to Retry.
func (b Bounds) Soon() time.Duration { return b.Recovery / soonShare }

// Grown gives the pause before the next try of a step that failed tries times in a row.
func (b Bounds) Grown(tries int) time.Duration {
	return min(b.Soon()<<(min(tries, growMost)/2), b.Retry())
}

// Eager is the pace of heartbeats while a node waits for its first lease.
func (b Bounds) Eager() time.Duration { return b.Heartbeat() / eagerShare }

// Changelog is the default interval of changelog batches.
func (b Bounds) Changelog() time.Duration { return b.Recovery / changelogShare }

// Gap is the longest a loss may leave callers without service by these ratios:
// session, claim, the wait for the previous machine, the pace of placement and a take-over.
func (b Bounds) Gap() time.Duration {
	return b.Session() + b.Jitter() + b.Previous() + b.Tend() + 2*b.Call() + b.Settle()
}

func (b Bounds) check() []Fault {
	var f []Fault
	add := func(ok bool, field, say string) {
		if !ok {
			f = append(f, Fault{Field: field, Say: say})
		}
	}
	add(b.Keeping >= time.Second && b.Keeping <= time.Hour, "keeping", "must be from 1s to 1h, is "+b.Keeping.String())
	add(b.Spread >= 500*time.Millisecond && b.Spread <= time.Minute, "spread", "must be from 500ms to 1m, is "+b.Spread.String())
	add(b.Recovery >= 2*time.Second && b.Recovery <= 5*time.Minute, "recovery", "must be from 2s to 5m, is "+b.Recovery.String())
	if len(f) > 0 {
		return f
	}
	add(b.Gap() <= b.Recovery, "recovery", "the steps after a loss add up to "+b.Gap().String()+", more than "+b.Recovery.String())
	add(b.Lease()+b.Heartbeat() <= b.Spread, "spread", "licence and pulse add up to more than the spread")
	add(b.Heartbeat()*3 <= b.Session(), "spread", "three pulses ("+(3*b.Heartbeat()).String()+") must fit into a session ("+b.Session().String()+"); raise recovery or lower spread")
	add(b.Keeping >= 2*b.Recovery, "keeping", "must be at least twice recovery ("+(2*b.Recovery).String()+") so that callers outlast a loss, is "+b.Keeping.String())
	return f
}
