package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/quorum"
)

// readDrains reads the list of drains by quorum.
func (d *Controller) readDrains(ctx context.Context) (acceptor.Value, decommission.Orders, error) {
	v, err := d.Client.Read(ctx, decommission.Key)
	if err != nil {
		return v, nil, err
	}
	l, err := decommission.Parse(v.Body)
	return v, l, err
}

// tendDrains notes how far each drain is, and which emptied machines serve again.
func (d *Controller) tendDrains(ctx context.Context, s *scene) {
	if len(s.drains) == 0 {
		return
	}
	v, list, err := d.readDrains(ctx)
	if err != nil {
		d.Log.Log(event.DecommissionFailed, "problem", err)
		return
	}
	was := maps.Clone(list)
	d.progress(ctx, s, list)
	for n, x := range list {
		list[n] = d.returned(s, x)
	}
	if maps.Equal(was, list) {
		return
	}
	if _, err := d.Client.Change(ctx, decommission.Key, v.Version, registerclient.NewChangeID(), list.Marshal()); err != nil {
		d.Log.Log(event.DecommissionFailed, "problem", err)
		return
	}
	for n, x := range list {
		if x.Done && !was[n].Done {
			d.Log.Log(event.DecommissionDone, "node", n)
		}
		if x.Returned && !was[n].Returned {
			d.Log.Log(event.DecommissionReturned, "node", n)
		}
	}
}

// progress counts what is left to be moved. Machines that no record names any more are done once all records are fenced.
func (d *Controller) progress(ctx context.Context, s *scene, list decommission.Orders) {
	fenced := false
	for _, x := range list.Sorted() {
		if x.Done {
			continue
		}
		x.RemainingRecords = d.named(x.Node)
		if m, live := s.m[x.Node]; live {
			x.BootID, x.Disk = m.BootID, m.Incarnation
		}
		if x.RemainingRecords == 0 {
			fenced = fenced || d.fence(ctx)
			x.RemainingRecords = d.named(x.Node)
			x.Done = fenced && x.RemainingRecords == 0
		}
		list[x.Node] = x
	}
}

// named counts the records that name a machine.
func (d *Controller) named(node string) int {
	n := 0
	for _, r := range d.recs {
		if r.Holds(node) {
			n++
		}
	}
	return n
}

// fence writes every record again as it stands. A node that had the placement duty before, and decided on a change before
// it could know of a drain, builds on counts of writes that are stale from then on, so its change is refused.
func (d *Controller) fence(ctx context.Context) bool {
	whole := true
	rs := slices.Collect(maps.Values(d.recs))
	for _, a := range quorum.Gather(ctx, rs, func(ctx context.Context, r assignment.Record) (assignment.Record, error) {
		v, err := d.Client.Change(ctx, assignment.Key(r.Partition), r.Version, registerclient.NewChangeID(), r.Marshal())
		if err == nil {
			r.Version = v.Version
			return r, nil
		}
		return assignment.Record{}, err
	}, nil) {
		if a.Err != nil {
			whole = false
			_ = d.read(ctx, a.Target.Partition)
			continue
		}
		d.keep(a.Value)
	}
	return whole
}

// lasts tells whether something that was noted of a machine has held for the keeping time.
func (d *Controller) lasts(s *scene, since map[string]time.Time, node string) bool {
	if since[node].IsZero() {
		since[node] = s.now
	}
	return s.now.Sub(since[node]) >= d.Timing.ReplacementDelay()
}

// returned tells whether an emptied machine serves again. It does once it was away for the keeping time, or has stood there
// for as long with another disk. A machine that is only started again is still to be taken away.
func (d *Controller) returned(s *scene, x decommission.Order) decommission.Order {
	m, live := s.m[x.Node]
	if !x.Done || x.Returned || live {
		delete(d.absent, x.Node)
	}
	renewed := live && x.Done && x.Disk != "" && m.Incarnation != x.Disk
	if !renewed {
		delete(d.renewed, x.Node)
	}
	switch {
	case !x.Done || x.Returned:
	case live && x.WentAway:
		x.Returned = true
	case renewed && d.lasts(s, d.renewed, x.Node):
		x.Returned = true
	case !live && d.lasts(s, d.absent, x.Node):
		x.WentAway = true
	}
	return x
}
