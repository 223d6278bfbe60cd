package reconfigurer

import (
	"maps"
	"slices"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/voters"
)

// plannedChange is a planned change of the voter set with its reasons.
type plannedChange struct {
	// added are the new voters. One on the node of a current voter replaces that voter.
	added []voters.Voter
	// removed names the nodes whose voters are removed.
	removed []string
	reasons []string
	// waiting says that a voter is absent, but not yet for long enough to be replaced or removed.
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

// plan decides how to change the current voter set. It does no I/O.
func (r *Reconfigurer) plan(current voters.Set, live map[string]membership.Info, now time.Time) *plannedChange {
	change := &plannedChange{}
	planMovedVoters(change, current, live)
	r.planCandidates(change, candidates(current, live), now)
	if !change.waiting {
		r.planSpareVoters(change, change.applyTo(current), now)
	}
	return change
}

// planMovedVoters replaces voters whose node has another disk or another address now.
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

// laggingVoters returns the voters that are live but have missed the activation of the current
// voter set.
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

// candidates returns the live control nodes that are not voters and may become voters, sorted by
// name. The disk of a candidate is under an older voter set than current, or under none. If a disk
// is under a newer one, current is outdated and the node is no candidate.
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

// planCandidates has each candidate replace an absent voter, so that absent voters don't accumulate
// until the majority is lost. If no voter is absent, the candidate becomes an additional voter.
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

// canReplace reports whether a voter has been absent for long enough to be replaced. The delay is
// longer for a candidate of another zone.
func (r *Reconfigurer) canReplace(voter string, candidate membership.Info, now time.Time) bool {
	delay := r.Timing.SessionTimeout()
	if r.absent.zones[voter] == candidate.Zone {
		delay /= 2
	}
	return now.Sub(r.absent.since[voter]) >= delay
}

// planSpareVoters removes absent voters, at most as many as the next voter set has spare ones: for
// each of them a new voter was added before.
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
