package controller

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/assignment"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// situation is what the controller has observed, what it sees and the record that it decides on.
type situation struct {
	controller *Controller
	view       *clusterView
	record     *assignment.Record
}

// Each reason for which a leader is replaced, and what comes right before it and is none yet.
func TestReplaceLeader_Reasons(t *testing.T) {
	timing := settings.DefaultTiming
	half := timing.SessionTimeout() / 2
	for _, test := range []struct {
		name   string
		set    func(*situation)
		reason string
		// waits reports that nothing else is done about the partition meanwhile.
		waits bool
	}{
		{"all is well", func(*situation) {}, "", false},
		{"another disk", func(s *situation) {
			s.view.machines["s1"].Incarnation = "new"
		}, "the owner's disk is another one", false},
		{"gone for a moment", func(s *situation) {
			delete(s.view.machines, "s1")
			s.controller.goneSince["s1"] = s.view.now.Add(time.Millisecond - timing.PreviousLeaderWait())
		}, "", true},
		{"gone", func(s *situation) {
			delete(s.view.machines, "s1")
			s.controller.goneSince["s1"] = s.view.now.Add(-timing.PreviousLeaderWait())
		}, "the owner is gone", false},
		{"gone, to a new controller", func(s *situation) {
			delete(s.view.machines, "s1")
			goneSince := s.view.now.Add(-timing.PreviousLeaderWait())
			s.controller.activeSince, s.controller.goneSince["s1"] = goneSince, goneSince
		}, "", true},
		{"a failing disk", func(s *situation) {
			s.view.machines["s1"].DiskHealth = "disk_full"
		}, "the owner's disk fails: disk_full", false},
		{"stopping", func(s *situation) {
			s.view.machines["s1"].Stage = membership.Draining
		}, "the owner is stopping", false},
		{"deaf for a moment", func(s *situation) {
			s.view.machines["s1"].Isolated, s.controller.deafSince["s1"] = true, s.view.now.Add(time.Millisecond-half)
		}, "", false},
		{"deaf", func(s *situation) {
			s.view.machines["s1"].Isolated, s.controller.deafSince["s1"] = true, s.view.now.Add(-half)
		}, "the owner has no licence", false},
		{"slow for a moment", func(s *situation) {
			s.view.machines["s1"].slow, s.view.machines["s1"].slowFor = true, half-time.Millisecond
		}, "", false},
		{"slow", func(s *situation) {
			s.view.machines["s1"].slow, s.view.machines["s1"].slowFor = true, half
		}, "the owner is slow", false},
		{"slow as all others", func(s *situation) {
			for _, m := range s.view.machines {
				m.slow, m.slowFor = true, half
			}
		}, "", false},
		{"to be emptied", func(s *situation) {
			s.view.machines["s1"].excluded = true
		}, "the owner is being emptied", false},
		{"to be emptied as all others", func(s *situation) {
			for _, m := range s.view.machines {
				m.excluded = true
			}
		}, "", false},
		{"a take-over under way", func(s *situation) {
			s.record.Recovered, s.controller.epochSince[1] = false, s.view.now.Add(-2*timing.TakeoverTimeout())
		}, "", false},
		{"a take-over without an end", func(s *situation) {
			s.record.Recovered, s.controller.epochSince[1] = false, s.view.now.Add(-2*timing.TakeoverTimeout()-1)
		}, "the take-over did not finish", false},
		{"gone with another replica", func(s *situation) {
			delete(s.view.machines, "s1")
			delete(s.view.machines, "s2")
			s.controller.goneSince["s1"] = s.view.now.Add(-timing.PreviousLeaderWait())
		}, "", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, view, record := newFixture("s1", "s2", "s3")
			test.set(&situation{c, view, &record})
			done := c.replaceLeader(view, record)
			assert.Equal(t, done, test.reason != "" || test.waits)
			if test.reason == "" {
				assert.Equal(t, len(c.pending), 0)
				return
			}
			assert.Equal(t, len(c.pending), 1)
			next := c.pending[0].next
			latest := next.History[len(next.History)-1]
			assert.Assert(t, strings.HasPrefix(latest.Reason, test.reason), latest.Reason)
			assert.Assert(t, next.Epoch == record.Epoch+1 && !next.Recovered, "%+v", next)
			assert.Assert(t, next.Leader != "s1" && record.Holds(next.Leader), "%+v", next)
		})
	}
}
