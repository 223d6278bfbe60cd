package controller

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

// table is a duty that began long ago, at whose site three stores in three zones hold a partition, s1 as its owner, and s4 may hold nothing.
func table(names ...string) (*Controller, *scene, assignment.Record) {
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	long := now.Add(-time.Hour)
	b := settings.DefaultTiming
	d := &Controller{
		Timing: b, since: long, moved: long, recs: map[int]assignment.Record{}, gone: map[string]time.Time{}, deaf: map[string]time.Time{}, slow: map[string]time.Time{},
		fresh: map[string]time.Time{}, absent: map[string]time.Time{}, renewed: map[string]time.Time{}, opened: map[int]time.Time{}, epochs: map[int]uint64{},
	}
	s := &scene{now: now, m: map[string]*machine{}, copies: 3, drains: decommission.Orders{}}
	r := assignment.Record{Partition: 1, Epoch: 4, Leader: "s1", Recovered: true}
	for _, n := range []string{"s1", "s2", "s3"} {
		r.Replicas = append(r.Replicas, assignment.Replica{Node: n, Incarnation: "disk-" + n})
	}
	for _, n := range names {
		s.m[n] = &machine{Info: membership.Info{Name: n, Zone: "z" + n[1:], Disk: settings.DiskStorage, Incarnation: "disk-" + n, Stage: membership.Serving}}
		s.stores++
		if r.Holds(n) {
			s.m[n].holds = 1
		}
	}
	d.recs[1] = r
	return d, s, r
}

// Each reason for which a partition is given to another machine, and what comes right before it and is none yet.
func TestWhoLosesAPartition(t *testing.T) {
	b := settings.DefaultTiming
	half := b.SessionTimeout() / 2
	for _, x := range []struct {
		name string
		set  func(d *Controller, s *scene, r *assignment.Record)
		say  string
		// waits tells that nothing else is done about the partition meanwhile.
		waits bool
	}{
		{"all is well", func(*Controller, *scene, *assignment.Record) {}, "", false},
		{"another disk", func(_ *Controller, s *scene, _ *assignment.Record) { s.m["s1"].Incarnation = "new" }, "the owner's disk is another one", false},
		{"gone for a moment", func(d *Controller, s *scene, _ *assignment.Record) {
			delete(s.m, "s1")
			d.gone["s1"] = s.now.Add(time.Millisecond - b.PreviousLeaderWait())
		}, "", true},
		{"gone", func(d *Controller, s *scene, _ *assignment.Record) {
			delete(s.m, "s1")
			d.gone["s1"] = s.now.Add(-b.PreviousLeaderWait())
		}, "the owner is gone", false},
		{"gone, to a duty that has just begun", func(d *Controller, s *scene, _ *assignment.Record) {
			delete(s.m, "s1")
			d.since, d.gone["s1"] = s.now.Add(-b.PreviousLeaderWait()), s.now.Add(-b.PreviousLeaderWait())
		}, "", true},
		{"a failing disk", func(_ *Controller, s *scene, _ *assignment.Record) { s.m["s1"].DiskHealth = "disk_full" }, "the owner's disk fails: disk_full", false},
		{"stopping", func(_ *Controller, s *scene, _ *assignment.Record) { s.m["s1"].Stage = membership.Draining }, "the owner is stopping", false},
		{"deaf for a moment", func(d *Controller, s *scene, _ *assignment.Record) {
			s.m["s1"].Deaf, d.deaf["s1"] = true, s.now.Add(time.Millisecond-half)
		}, "", false},
		{"deaf", func(d *Controller, s *scene, _ *assignment.Record) {
			s.m["s1"].Deaf, d.deaf["s1"] = true, s.now.Add(-half)
		}, "the owner has no licence", false},
		{"slow for a moment", func(_ *Controller, s *scene, _ *assignment.Record) {
			s.m["s1"].slow, s.m["s1"].slowFor = true, half-time.Millisecond
		}, "", false},
		{"slow", func(_ *Controller, s *scene, _ *assignment.Record) { s.m["s1"].slow, s.m["s1"].slowFor = true, half }, "the owner is slow", false},
		{"slow as all others", func(_ *Controller, s *scene, _ *assignment.Record) {
			for _, m := range s.m {
				m.slow, m.slowFor = true, half
			}
		}, "", false},
		{"to be emptied", func(_ *Controller, s *scene, _ *assignment.Record) { s.m["s1"].out = true }, "the owner is being emptied", false},
		{"to be emptied as all others", func(_ *Controller, s *scene, _ *assignment.Record) {
			for _, m := range s.m {
				m.out = true
			}
		}, "", false},
		{"a take-over under way", func(d *Controller, s *scene, r *assignment.Record) {
			r.Recovered, d.opened[1] = false, s.now.Add(-2*b.TakeoverTimeout())
		}, "", false},
		{"a take-over without an end", func(d *Controller, s *scene, r *assignment.Record) {
			r.Recovered, d.opened[1] = false, s.now.Add(-2*b.TakeoverTimeout()-1)
		}, "the take-over did not finish", false},
		{"gone with another copy", func(d *Controller, s *scene, _ *assignment.Record) {
			delete(s.m, "s1")
			delete(s.m, "s2")
			d.gone["s1"] = s.now.Add(-b.PreviousLeaderWait())
		}, "", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			d, s, r := table("s1", "s2", "s3")
			x.set(d, s, &r)
			done := d.owner(s, r)
			assert.Equal(t, done, x.say != "" || x.waits)
			if x.say == "" {
				assert.Equal(t, len(d.wants), 0)
				return
			}
			assert.Equal(t, len(d.wants), 1)
			n := d.wants[0].n
			h := n.History[len(n.History)-1]
			assert.Assert(t, strings.HasPrefix(h.Reason, x.say), h.Reason)
			assert.Assert(t, n.Epoch == r.Epoch+1 && n.Leader != "s1" && r.Holds(n.Leader) && !n.Recovered, "%+v", n)
		})
	}
}

// How long a copy on a machine that is gone is waited for, by who could take its place.
func TestHowLongACopyIsWaitedFor(t *testing.T) {
	b := settings.DefaultTiming
	for _, x := range []struct {
		name  string
		there []string
		set   func(d *Controller, s *scene)
		want  time.Duration
	}{
		{"small disks only", []string{"s1", "s2"}, func(*Controller, *scene) {}, b.ReplacementDelay()},
		{"another store, which holds other copies", []string{"s1", "s2", "s4"}, func(_ *Controller, s *scene) { s.m["s4"].holds = 1 }, b.Recovery},
		{"a store that came after it", []string{"s1", "s2", "s4"}, func(d *Controller, s *scene) { d.fresh["s4"] = s.now }, b.PreviousLeaderWait()},
		{"a store that held nothing long before", []string{"s1", "s2", "s4"}, func(d *Controller, s *scene) { d.fresh["s4"] = s.now.Add(-time.Minute) }, b.SessionTimeout() / 2},
		{"one of each", []string{"s1", "s2", "s4", "s5"}, func(d *Controller, s *scene) {
			s.m["s5"].holds, d.fresh["s4"] = 1, s.now
		}, b.PreviousLeaderWait()},
		{"a store that came after it, to a duty that has just begun", []string{"s1", "s2", "s4"}, func(d *Controller, s *scene) {
			d.fresh["s4"], d.since = s.now, s.now
		}, b.SessionTimeout() / 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			d, s, r := table(x.there...)
			d.gone["s3"] = s.now
			x.set(d, s)
			p, _ := r.Replica("s3")
			assert.Equal(t, d.patience(s, r, p), x.want)
			d.gone["s3"] = s.now.Add(-x.want)
			assert.Equal(t, d.faulty(s, r, p), "")
			d.gone["s3"] = s.now.Add(-x.want - 1)
			assert.Equal(t, d.faulty(s, r, p), "gone for longer than "+x.want.String())
		})
	}
}
