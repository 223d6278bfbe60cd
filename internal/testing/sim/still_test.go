package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	keys "postjunction/internal/control/register"
	"postjunction/internal/partitionlog/replica"
)

// What it costs to keep the copies of silent partitions in step grows with pairs of machines, not
// with partitions; a copy whose disk is gone is noticed all the same.
func TestIdleLogsAreConfirmedTogether(t *testing.T) {
	t.Parallel()
	s := Armor
	s.Routine, s.Urgent = 20, 4
	runFleet(t, s, 460, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		time.Sleep(s.Timing.Recovery)
		const sessions = 10
		was := w.Flows()
		time.Sleep(sessions * s.Timing.SessionTimeout())
		is := w.Flows()
		pairs := s.Stores * (s.Stores - 1)
		stills, appends := is[replica.CompareIdle.Path], is[replica.Append.Path].Calls-was[replica.Append.Path].Calls
		stills.Calls -= was[replica.CompareIdle.Path].Calls
		stills.Bytes -= was[replica.CompareIdle.Path].Bytes
		t.Logf("%d partitions, %d sessions: %d calls and %d bytes for silent lines, %d appends", s.Routine+s.Urgent, sessions, stills.Calls, stills.Bytes, appends)
		assert.Assert(t, stills.Calls >= pairs*(sessions-1) && stills.Calls <= pairs*(sessions+1), "%d calls for %d pairs", stills.Calls, pairs)
		assert.Equal(t, appends, 0)

		w.Wipe("s2")
		assert.NilError(t, w.Start("s2"))
		assert.NilError(t, w.WaitUntil(s.Timing.Keeping, "the wiped disk is repaired", w.whole))
	})
}

// A fleet at rest does not ask the control nodes for each partition's record over and over.
func TestRecordsAreNotReadAtRest(t *testing.T) {
	t.Parallel()
	s := Armor
	s.Routine, s.Urgent = 20, 4
	runFleet(t, s, 461, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		time.Sleep(s.Timing.Recovery)
		was := w.Flows()
		const sweeps = 4
		time.Sleep(sweeps * s.Timing.SweepInterval())
		is := w.Flows()
		for _, p := range []string{keys.Read.Path, acceptor.Peek.Path} {
			t.Logf("%s: %d calls, %d bytes in %d sweeps of %d partitions", p, is[p].Calls-was[p].Calls, is[p].Bytes-was[p].Bytes, sweeps, s.Routine+s.Urgent)
		}
		n := is[keys.Read.Path].Calls - was[keys.Read.Path].Calls
		assert.Assert(t, n < s.Routine+s.Urgent, "%d reads", n)
	})
}
