// Package options holds the settings of a node: read, checked with exact messages, and turned into times.
package options

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
	pulseShare      = 10
	slowShare       = 60
	sessionShare    = 6
	callShare       = 8
	jitterShare     = 40
	holdShare       = 3
	settleShare     = 4
	marginShare     = 5
	licencePercent  = 80
	stopPercent     = 40
	handPercent     = 10
	repairShare     = 1
	sweepShare      = 4
	previousShare   = 12
	tendShare       = 24
	retryShare      = 60
	changelogShare  = 6
	changelogAtMost = 2
)

// Pulse is how often a node renews its session and gossips.
func (b Bounds) Pulse() time.Duration { return b.Spread / pulseShare }

// Licence is how long a confirmation of the description lets a node serve.
func (b Bounds) Licence() time.Duration { return b.Spread * licencePercent / 100 }

// Session is how long a silent node stays a member.
func (b Bounds) Session() time.Duration { return b.Recovery / sessionShare }

// Call is the deadline of one call between nodes.
func (b Bounds) Call() time.Duration { return b.Recovery / callShare }

// Jitter is the widest pause before a claim.
func (b Bounds) Jitter() time.Duration { return b.Recovery / jitterShare }

// Hold is how long a read waits for news.
func (b Bounds) Hold() time.Duration { return b.Spread / holdShare }

// Slow is how long a machine's pulses may take before it counts as slow, if that is also much longer than usual.
func (b Bounds) Slow() time.Duration { return b.Spread / slowShare }

// Settle is how long a take-over may take before another store is tried.
func (b Bounds) Settle() time.Duration { return b.Recovery / settleShare }

// Kept is how long entries stay, the keeping time with a margin.
func (b Bounds) Kept() time.Duration { return b.Keeping + b.Keeping/marginShare }

// Stop is the longest a stopping node takes, inside the platform's 6 s.
func (b Bounds) Stop() time.Duration { return b.Recovery * stopPercent / 100 }

// HandOver is the part of Stop for giving duties away.
func (b Bounds) HandOver() time.Duration { return b.Recovery * handPercent / 100 }

// Repair is how long a lost copy is waited for before another machine takes its place.
func (b Bounds) Repair() time.Duration { return b.Keeping / repairShare }

// Sweep is the pace of the repair sweep over one partition.
func (b Bounds) Sweep() time.Duration { return b.Keeping / sweepShare }

// Previous is how long a partition waits for the machine that had it.
func (b Bounds) Previous() time.Duration { return b.Recovery / previousShare }

// Tend is the pace of the placement duty.
func (b Bounds) Tend() time.Duration { return b.Recovery / tendShare }

// Retry is the pause before a failed step between nodes is tried again.
func (b Bounds) Retry() time.Duration { return b.Recovery / retryShare }

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
	add(b.Licence()+b.Pulse() <= b.Spread, "spread", "licence and pulse add up to more than the spread")
	add(b.Pulse()*3 <= b.Session(), "spread", "three pulses ("+(3*b.Pulse()).String()+") must fit into a session ("+b.Session().String()+"); raise recovery or lower spread")
	add(b.Keeping >= 2*b.Recovery, "keeping", "must be at least twice recovery ("+(2*b.Recovery).String()+") so that callers outlast a loss, is "+b.Keeping.String())
	return f
}
