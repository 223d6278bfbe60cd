package controller

import (
	"fmt"
	"slices"
	"time"

	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// patience is how long a copy on a machine that is gone is waited for: hardly, where a newcomer came to take its place; for half a session more, which most restarts
// are back within, where a newcomer was there before; as long as service may take to be back, where another storage machine is there; and long, where it would be a small disk.
func (d *Controller) patience(s *scene, r assignment.Record, p assignment.Replica) time.Duration {
	wait := d.Timing.ReplacementDelay()
	for n, m := range s.m {
		if _, ok := r.Replica(n); ok || m.Disk != settings.DiskStorage || !s.fit(m) {
			continue
		}
		switch t, ok := d.fresh[n]; {
		case !ok:
			wait = min(wait, d.Timing.Recovery)
		case t.Before(d.gone[p.Node].Add(-d.Timing.SessionTimeout())):
			wait = min(wait, d.Timing.SessionTimeout()/2)
		default:
			wait = min(wait, d.early(s))
		}
	}
	return wait
}

// early is how long a machine must be gone before anything is done, longer while the duty is young and may not have heard of it.
func (d *Controller) early(s *scene) time.Duration {
	if s.now.Sub(d.since) < d.Timing.SessionTimeout() {
		return d.Timing.SessionTimeout() / 2
	}
	return d.Timing.PreviousLeaderWait()
}

func (d *Controller) first(s *scene, r assignment.Record) {
	if s.stores < s.copies && s.now.Sub(d.since) < d.Timing.SessionTimeout() {
		return
	}
	var ps []assignment.Replica
	for len(ps) < s.copies {
		m := d.candidate(s, ps)
		if m == nil {
			break
		}
		ps = append(ps, assignment.Replica{Node: m.Name, Incarnation: m.Incarnation})
	}
	if len(ps) < s.copies {
		return
	}
	o := slices.MinFunc(ps, func(a, b assignment.Replica) int { return s.m[a.Node].owns - s.m[b.Node].owns })
	d.write(r, r.Next(o.Node, ps, "first placement", s.now))
	for _, p := range ps {
		s.m[p.Node].holds++
	}
	s.give(o.Node, idle)
}

func (d *Controller) candidate(s *scene, ps []assignment.Replica) *machine {
	zones, names := map[string]int{}, map[string]bool{}
	for _, p := range ps {
		names[p.Node] = true
		if m, ok := s.m[p.Node]; ok {
			zones[m.Zone]++
		}
	}
	var best *machine
	rank := func(m *machine) [3]int {
		k := [3]int{0, zones[m.Zone], m.holds}
		if m.Disk != settings.DiskStorage {
			k[0] = 1
		}
		return k
	}
	for _, m := range s.m {
		if names[m.Name] || !s.fit(m) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		a, b := rank(m), rank(best)
		if c := slices.Compare(a[:], b[:]); c < 0 || c == 0 && m.Name < best.Name {
			best = m
		}
	}
	return best
}

func (d *Controller) faulty(s *scene, r assignment.Record, p assignment.Replica) string {
	m, ok := s.m[p.Node]
	switch {
	case !ok && s.emptied(p.Node):
		return "it is being emptied and gone"
	case !ok:
		if w := d.patience(s, r, p); s.now.Sub(d.gone[p.Node]) > w {
			return "gone for longer than " + w.String()
		}
		return ""
	case m.Incarnation != p.Incarnation:
		return "its disk is another one"
	case m.out:
		return "it is being emptied"
	case m.DiskHealth != "":
		return "its disk fails"
	case m.Disk != settings.DiskStorage && s.stores >= s.copies:
		return "storage machines suffice again"
	}
	return ""
}

func (d *Controller) copies(s *scene, r assignment.Record, learners *int) {
	bad, why := -1, ""
	for i, p := range r.Replicas {
		if w := d.faulty(s, r, p); w != "" && (bad < 0 || !s.usable(p)) {
			bad, why = i, w
		}
	}
	if r.Learner != nil {
		m, ok := s.m[r.Learner.Node]
		if !ok || m.Incarnation != r.Learner.Incarnation || m.DiskHealth != "" || m.out || bad < 0 && len(r.Replicas) >= s.copies {
			n := r
			n.Learner = nil
			d.write(r, n)
		}
		return
	}
	if len(r.Replicas) > s.copies {
		if bad < 0 {
			bad, why = d.spare(s, r), "one copy more than needed"
		}
		rest := slices.Delete(slices.Clone(r.Replicas), bad, bad+1)
		o := r.Leader
		if r.Replicas[bad].Node == o {
			h, ok := d.heir(s, r, o)
			if !ok {
				return
			}
			o = h.Node
		}
		d.write(r, r.Next(o, rest, fmt.Sprintf("removed %s: %s", r.Replicas[bad].Node, why), s.now))
		return
	}
	if bad < 0 && len(r.Replicas) >= s.copies || *learners >= learnersMost {
		return
	}
	keep := slices.Clone(r.Replicas)
	if bad >= 0 {
		keep = slices.Delete(keep, bad, bad+1)
	}
	m := d.candidate(s, keep)
	if bad >= 0 {
		if b := s.m[r.Replicas[bad].Node]; s.fit(b) && b.Incarnation != r.Replicas[bad].Incarnation {
			m = b
		}
	}
	if m == nil {
		return
	}
	n := r
	n.Learner = &assignment.Replica{Node: m.Name, Incarnation: m.Incarnation}
	d.write(r, n)
	m.holds++
	*learners++
}

func (d *Controller) spare(s *scene, r assignment.Record) int {
	if i := slices.IndexFunc(r.Replicas, func(p assignment.Replica) bool { return s.m[p.Node] == nil }); i >= 0 {
		return i
	}
	at := 0
	for i, p := range r.Replicas {
		if p.Node != r.Leader && s.m[p.Node] != nil && (s.m[r.Replicas[at].Node] == nil || r.Replicas[at].Node == r.Leader || s.m[p.Node].holds > s.m[r.Replicas[at].Node].holds) {
			at = i
		}
	}
	return at
}
