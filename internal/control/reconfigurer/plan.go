package reconfigurer

import (
	"maps"
	"slices"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/voters"
)

// plannedChange says how the voter set is to change, and why.
type plannedChange struct {
	// added come in; one of a node that is a voter already takes the place of that.
	added []voters.Voter
	// removed names the nodes that go.
	removed []string
	reasons []string
	// waiting says that a voter is gone, but not yet for long enough to be replaced or given up.
	waiting bool
}

func (c *plannedChange) add(node membership.Info, reason string) {
	c.added = append(c.added, voters.Voter{Node: node.Name, Addr: node.PeerAddr, Incarnation: node.Incarnation})
	c.reasons = append(c.reasons, reason)
}

func (c *plannedChange) isEmpty() bool { return len(c.added)+len(c.removed) == 0 }

// applyTo returns the voter set that follows current.
func (c *plannedChange) applyTo(current voters.Set) voters.Set {
	return current.Without(c.removed...).Replace(c.added...)
}

// plan decides how the current voter set is to change. It does no I/O.
func (r *Reconfigurer) plan(current voters.Set, live map[string]membership.Info, now time.Time) *plannedChange {
	change := &plannedChange{}
	planMovedVoters(change, current, live)
	r.planCandidates(change, candidates(current, live), now)
	if !change.waiting {
		r.planSpareVoters(change, change.applyTo(current), now)
	}
	return change
}

// planMovedVoters has voters in again that came back with another disk or at another address.
func planMovedVoters(change *plannedChange, current voters.Set, live map[string]membership.Info) {
	for _, voter := range current.Voters {
		node, ok := live[voter.Node]
		switch {
		case !ok:
		case node.Incarnation != voter.Incarnation:
			change.add(node, "disk of "+voter.Node+" is another one")
		case node.PeerAddr != voter.Addr:
			change.add(node, voter.Node+" is reached at another address")
		}
	}
}

// laggingVoters returns the voters that are live but missed the change to the current voter set.
func laggingVoters(current voters.Set, live map[string]membership.Info) []voters.Voter {
	var lagging []voters.Voter
	for _, voter := range current.Voters {
		node, ok := live[voter.Node]
		isSameVoter := ok && node.Incarnation == voter.Incarnation && node.PeerAddr == voter.Addr
		if isSameVoter && node.VoterSet < current.Sequence {
			lagging = append(lagging, voter)
		}
	}
	return lagging
}

// candidates returns the live control nodes, by name, that are no voters and may become ones. The
// disk of a node that isn't a voter is under an older voter set or none; where it is under a newer
// one, current is out of date.
func candidates(current voters.Set, live map[string]membership.Info) []membership.Info {
	var found []membership.Info
	for _, name := range slices.Sorted(maps.Keys(live)) {
		node := live[name]
		if _, ok := current.Voter(name); !ok && node.VoterSet < current.Sequence && node.Stage == membership.Serving {
			found = append(found, node)
		}
	}
	return found
}

// planCandidates has each candidate replace a voter that is gone, so that dead voters don't wear
// the majority down, or come in beside the others where none is.
func (r *Reconfigurer) planCandidates(change *plannedChange, candidates []membership.Info, now time.Time) {
	replacements := r.absent.pair(candidates)
	for _, candidate := range candidates {
		replaced, ok := replacements[candidate.Name]
		switch {
		case !ok:
			change.add(candidate, "a control disk joined: "+candidate.Name)
		case r.canReplace(replaced, candidate, now):
			change.add(candidate, candidate.Name+" replaces voter "+replaced+", which is gone")
			change.removed = append(change.removed, replaced)
		default:
			change.waiting = true
		}
	}
}

// canReplace reports whether a voter is gone for long enough to be replaced, which is longer for a
// candidate of another zone.
func (r *Reconfigurer) canReplace(voter string, candidate membership.Info, now time.Time) bool {
	delay := r.Timing.SessionTimeout()
	if r.absent.zones[voter] == candidate.Zone {
		delay /= 2
	}
	return now.Sub(r.absent.since[voter]) >= delay
}

// planSpareVoters gives up voters that are gone, as many as the next voter set has beyond what the
// fleet was bootstrapped with: a new voter came in before they went.
func (r *Reconfigurer) planSpareVoters(change *plannedChange, next voters.Set, now time.Time) {
	var surplus []string
	for _, voter := range next.Voters {
		since, isAbsent := r.absent.since[voter.Node]
		if !isAbsent || len(surplus) >= next.SpareVoters() {
			continue
		}
		if now.Sub(since) < r.Timing.SessionTimeout()/2 {
			change.waiting = true
			continue
		}
		surplus = append(surplus, voter.Node)
	}
	for _, name := range surplus {
		change.removed = append(change.removed, name)
		change.reasons = append(change.reasons, name+" is gone, and the voters suffice without it")
	}
}
