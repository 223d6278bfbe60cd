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

// situation is a controller with its observations, its view, and the record that it decides on.
type situation struct {
	controller *Controller
	view       *clusterView
	record     *assignment.Record
}

// Tests each reason for replacing a leader, and the condition just before it that is no reason yet.
func TestReplaceLeader_Reasons(t *testing.T) {
	timing := settings.DefaultTiming
	halfSession := timing.SessionTimeout() / 2
	for _, test := range []struct {
		name   string
		set    func(*situation)
		reason string
		// waits says that nothing else is done for the partition in the round.
		waits bool
	}{
		{"no fault", func(*situation) {}, "", false},
		{"another disk", func(s *situation) {
			s.view.machines["s1"].Incarnation = "new"
		}, "the owner's disk is another one", false},
		{"missing for less than the wait", func(s *situation) {
			delete(s.view.machines, "s1")
			s.controller.missingSince["s1"] = s.view.now.Add(time.Millisecond - timing.PreviousLeaderWait())
		}, "", true},
		{"missing", func(s *situation) {
			delete(s.view.machines, "s1")
			s.controller.missingSince["s1"] = s.view.now.Add(-timing.PreviousLeaderWait())
		}, "the owner is gone", false},
		{"missing, with a new controller", func(s *situation) {
			delete(s.view.machines, "s1")
			missingSince := s.view.now.Add(-timing.PreviousLeaderWait())
			s.controller.activeSince, s.controller.missingSince["s1"] = missingSince, missingSince
		}, "", true},
		{"a failing disk", func(s *situation) {
			s.view.machines["s1"].DiskHealth = "disk_full"
		}, "the owner's disk fails: disk_full", false},
		{"stopping", func(s *situation) {
			s.view.machines["s1"].Stage = membership.Draining
		}, "the owner is stopping", false},
		{"without a lease for less than half a session timeout", func(s *situation) {
			s.view.machines["s1"].Isolated = true
			s.controller.leaselessSince["s1"] = s.view.now.Add(time.Millisecond - halfSession)
		}, "", false},
		{"without a lease", func(s *situation) {
			s.view.machines["s1"].Isolated, s.controller.leaselessSince["s1"] = true, s.view.now.Add(-halfSession)
		}, "the owner has no licence", false},
		{"slow for less than half a session timeout", func(s *situation) {
			s.view.machines["s1"].slow, s.view.machines["s1"].slowFor = true, halfSession-time.Millisecond
		}, "", false},
		{"slow", func(s *situation) {
			s.view.machines["s1"].slow, s.view.machines["s1"].slowFor = true, halfSession
		}, "the owner is slow", false},
		{"slow, as all others are", func(s *situation) {
			for _, m := range s.view.machines {
				m.slow, m.slowFor = true, halfSession
			}
		}, "", false},
		{"being decommissioned", func(s *situation) {
			s.view.machines["s1"].excluded = true
		}, "the owner is being emptied", false},
		{"being decommissioned, as all others are", func(s *situation) {
			for _, m := range s.view.machines {
				m.excluded = true
			}
		}, "", false},
		{"a takeover in progress", func(s *situation) {
			s.record.Recovered, s.controller.epochSince[1] = false, s.view.now.Add(-2*timing.TakeoverTimeout())
		}, "", false},
		{"a takeover that does not finish", func(s *situation) {
			s.record.Recovered, s.controller.epochSince[1] = false, s.view.now.Add(-2*timing.TakeoverTimeout()-1)
		}, "the take-over did not finish", false},
		{"missing together with another replica", func(s *situation) {
			delete(s.view.machines, "s1")
			delete(s.view.machines, "s2")
			s.controller.missingSince["s1"] = s.view.now.Add(-timing.PreviousLeaderWait())
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
			assert.Assert(t, next.Leader != "s1" && record.Includes(next.Leader), "%+v", next)
		})
	}
}
