package controller

import (
	"fmt"
	"time"

	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

func (d *Controller) heir(s *scene, r assignment.Record, not string) (assignment.Replica, bool) {
	var best assignment.Replica
	found := false
	for _, p := range r.Replicas {
		if p.Node == not || !s.canOwn(p) {
			continue
		}
		if !found || d.better(s, r, p, best) {
			best, found = p, true
		}
	}
	return best, found
}

func (d *Controller) better(s *scene, r assignment.Record, p, q assignment.Replica) bool {
	a, b := s.m[p.Node], s.m[q.Node]
	if a.out != b.out {
		return b.out
	}
	if (a.Disk == settings.DiskStorage) != (b.Disk == settings.DiskStorage) {
		return a.Disk == settings.DiskStorage
	}
	if a.load != b.load {
		return a.load < b.load
	}
	if a.owns != b.owns {
		return a.owns < b.owns
	}
	return p.Node < q.Node
}

func (d *Controller) owner(s *scene, r assignment.Record) bool {
	me, ok := r.Replica(r.Leader)
	reason := ""
	switch m := s.m[r.Leader]; {
	case !ok || m != nil && m.Incarnation != me.Incarnation:
		reason = "the owner's disk is another one"
	case m == nil:
		if s.now.Sub(d.gone[r.Leader]) < d.early(s) {
			return true
		}
		reason = "the owner is gone"
	case m.DiskHealth != "":
		reason = "the owner's disk fails: " + m.DiskHealth
	case m.Stage != membership.Serving:
		reason = "the owner is stopping"
	case m.Deaf && s.now.Sub(d.deaf[r.Leader]) >= d.Timing.SessionTimeout()/2:
		reason = "the owner has no licence: it is heard but does not hear"
	case m.slow && m.slowFor >= d.Timing.SessionTimeout()/2:
		if _, ok := d.heir(s, r, r.Leader); !ok || !r.Recovered {
			return false
		}
		reason = fmt.Sprintf("the owner is slow: its pulses take %s, %s are usual", time.Duration(m.LatencyMicros)*time.Microsecond, s.usual)
	case m.out && len(r.Replicas) <= s.copies:
		if h, ok := d.heir(s, r, r.Leader); !ok || s.m[h.Node].out || !r.Recovered {
			return false
		}
		reason = "the owner is being emptied"
	case !r.Recovered && s.now.Sub(d.opened[r.Partition]) > 2*d.Timing.TakeoverTimeout():
		reason = "the take-over did not finish in " + (2 * d.Timing.TakeoverTimeout()).String()
	default:
		return false
	}
	alive := 0
	for _, p := range r.Replicas {
		if s.usable(p) {
			alive++
		}
	}
	h, ok := d.heir(s, r, r.Leader)
	if !ok || alive < r.Majority() {
		return true
	}
	w := s.weight(r)
	d.write(r, r.Next(h.Node, r.Replicas, reason, s.now))
	s.give(h.Node, w)
	return true
}

func (d *Controller) balance(s *scene) {
	if s.now.Sub(d.moved) < d.Timing.ReplacementDelay()/2 {
		return
	}
	var most *machine
	for _, m := range s.m {
		if most == nil || m.load > most.load || m.load == most.load && m.Name < most.Name {
			most = m
		}
	}
	if most == nil {
		return
	}
	best, to, low := assignment.Record{}, assignment.Replica{}, most.load
	for p := range len(d.recs) {
		r := d.recs[p]
		if r.Leader != most.Name || !r.Recovered || r.Learner != nil || len(r.Replicas) != s.copies {
			continue
		}
		for _, q := range r.Replicas {
			if !s.canOwn(q) {
				return
			}
		}
		h, ok := d.heir(s, r, r.Leader)
		if !ok || s.m[h.Node].out || s.m[h.Node].Disk != settings.DiskStorage {
			continue
		}
		w := s.weight(r)
		if after := max(most.load-w, s.m[h.Node].load+w); after < low {
			best, to, low = r, h, after
		}
	}
	if most.load-low < max(idle, most.load*worthPercent/100) {
		return
	}
	d.moved = s.now
	d.write(best, best.Next(to.Node, best.Replicas, fmt.Sprintf("load was uneven: %s took %.1f a second, %s %.1f", most.Name, most.load, to.Node, s.m[to.Node].load), s.now))
}
