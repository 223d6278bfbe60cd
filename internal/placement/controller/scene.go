package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"postjunction/internal/event"
	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

type machine struct {
	membership.Info
	holds, owns int
	load        float64
	out         bool
	slow        bool
	slowFor     time.Duration
}

// idle is the load of a partition that takes nothing, in messages a second: what its heartbeats cost.
const idle = 1

func (s *scene) weight(r assignment.Record) float64 {
	if m, ok := s.m[r.Leader]; ok {
		return idle + m.Loads[r.Partition]
	}
	return idle
}

func (s *scene) give(h string, w float64) {
	s.m[h].owns++
	s.m[h].load += w
}

type scene struct {
	now    time.Time
	m      map[string]*machine
	stores int
	// copies is how many disks are to hold a partition.
	copies int
	drains decommission.Orders
	usual  time.Duration
}

func (s *scene) usable(p assignment.Replica) bool {
	m, ok := s.m[p.Node]
	return ok && m.Incarnation == p.Incarnation && m.DiskHealth == ""
}

// emptied tells whether a machine that is gone was asked to be emptied, so that it is not waited for.
func (s *scene) emptied(node string) bool {
	return s.drains.Excludes(node)
}

// fit tells whether a machine may be given a copy.
func (s *scene) fit(m *machine) bool {
	return m != nil && !m.out && m.DiskHealth == "" && !m.Deaf && m.Stage == membership.Serving && (m.Disk == settings.DiskStorage || s.stores < s.copies)
}

func (s *scene) canOwn(p assignment.Replica) bool {
	return s.usable(p) && s.m[p.Node].Stage == membership.Serving && !s.m[p.Node].Deaf && !s.m[p.Node].slow
}

func (d *Controller) scene(ctx context.Context) (*scene, error) {
	s := &scene{now: d.Clock.Now(), m: map[string]*machine{}, copies: d.Store.VoterSet().Layout.ReplicationFactor()}
	_, list, err := d.readDrains(ctx)
	if err != nil {
		d.Log.Log(event.DecommissionFailed, "problem", err)
		return nil, err
	}
	s.drains = list
	for _, i := range d.Live() {
		if i.Disk == settings.DiskNone {
			continue
		}
		out := s.drains.Excludes(i.Name)
		s.m[i.Name] = &machine{Info: i, out: out}
		if i.Disk == settings.DiskStorage && !out && i.DiskHealth == "" {
			s.stores++
		}
	}
	for _, r := range d.recs {
		for _, p := range r.Replicas {
			if m, ok := s.m[p.Node]; ok {
				m.holds++
				if r.Leader == p.Node {
					m.owns++
					m.load += s.weight(r)
				}
			}
		}
		if r.Learner != nil {
			if m, ok := s.m[r.Learner.Node]; ok {
				m.holds++
			}
		}
	}
	d.lags(s)
	defer d.newcomers(s)
	for n, m := range s.m {
		delete(d.gone, n)
		if !m.Deaf {
			delete(d.deaf, n)
		} else if d.deaf[n].IsZero() {
			d.deaf[n] = s.now
		}
	}
	for _, r := range d.recs {
		for _, p := range r.Replicas {
			if _, ok := s.m[p.Node]; !ok && d.gone[p.Node].IsZero() {
				d.gone[p.Node] = s.now
			}
		}
	}
	return s, nil
}

// newcomers notes the storage machines that hold nothing: they take the place of one that is gone, all of it.
func (d *Controller) newcomers(s *scene) {
	for n := range d.gone {
		if !slices.ContainsFunc(slices.Collect(maps.Values(d.recs)), func(r assignment.Record) bool { _, ok := r.Replica(n); return ok }) {
			delete(d.gone, n)
		}
	}
	for n := range d.fresh {
		if m, ok := s.m[n]; !ok || m.holds > 0 && len(d.gone) == 0 {
			delete(d.fresh, n)
		}
	}
	for n, m := range s.m {
		if _, ok := d.fresh[n]; !ok && m.Disk == settings.DiskStorage && m.holds == 0 && s.fit(m) {
			d.fresh[n] = s.now
		}
	}
}

// lags finds machines whose heartbeats take much longer than is usual among those with a disk, and for how long.
func (d *Controller) lags(s *scene) {
	var ls []int64
	for _, m := range s.m {
		ls = append(ls, m.LatencyMicros)
	}
	slices.Sort(ls)
	if len(ls) == 0 {
		return
	}
	s.usual = time.Duration(ls[len(ls)/2]) * time.Microsecond
	for n, m := range s.m {
		lag := time.Duration(m.LatencyMicros) * time.Microsecond
		switch since := d.slow[n]; {
		case lag > max(settings.SlowFactor*s.usual, d.Timing.SlowThreshold()):
			if since.IsZero() {
				since = s.now
				d.slow[n] = s.now
			}
			m.slow, m.slowFor = true, s.now.Sub(since)
		case lag < max(settings.SlowFactor*s.usual, d.Timing.SlowThreshold())/2:
			delete(d.slow, n)
		default:
			m.slow = !since.IsZero()
		}
	}
}
