package sim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	keys "postjunction/internal/control/register"
	"postjunction/internal/partitionlog/replica"
)

// The cost of comparing the replicas of idle partitions grows with the number of pairs of machines,
// not with that of partitions. The loss of a replica's disk is noticed nevertheless.
func TestIdleLogsAreConfirmedTogether(t *testing.T) {
	t.Parallel()
	site := Armor
	site.Routine, site.Urgent = 20, 4
	runFleet(t, site, 460, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		time.Sleep(site.Timing.Recovery)
		const sessions = 10
		before := w.TrafficByPath()
		time.Sleep(sessions * site.Timing.SessionTimeout())
		after := w.TrafficByPath()
		pairs := site.Storage * (site.Storage - 1)
		comparisons, appends := after[replica.CompareIdle.Path], after[replica.Append.Path].Calls-before[replica.Append.Path].Calls
		comparisons.Calls -= before[replica.CompareIdle.Path].Calls
		comparisons.Bytes -= before[replica.CompareIdle.Path].Bytes
		t.Logf("%d partitions, %d sessions: %d calls and %d bytes for idle logs, %d appends", site.Routine+site.Urgent, sessions, comparisons.Calls, comparisons.Bytes, appends)
		assert.Assert(t, comparisons.Calls >= pairs*(sessions-1) && comparisons.Calls <= pairs*(sessions+1), "%d calls for %d pairs", comparisons.Calls, pairs)
		assert.Equal(t, appends, 0)

		w.Wipe("s2")
		assert.NilError(t, w.Start("s2"))
		assert.NilError(t, w.WaitUntil(site.Timing.Keeping, "the wiped disk is repaired", w.isFullyReplicated))
	})
}

// An idle fleet does not ask the control nodes for each partition's record repeatedly.
func TestRecordsAreNotReadAtRest(t *testing.T) {
	t.Parallel()
	site := Armor
	site.Routine, site.Urgent = 20, 4
	runFleet(t, site, 461, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		time.Sleep(site.Timing.Recovery)
		before := w.TrafficByPath()
		const sweeps = 4
		time.Sleep(sweeps * site.Timing.SweepInterval())
		after := w.TrafficByPath()
		for _, path := range []string{keys.Read.Path, acceptor.Peek.Path} {
			t.Logf("%s: %d calls, %d bytes in %d sweeps of %d partitions", path, after[path].Calls-before[path].Calls, after[path].Bytes-before[path].Bytes, sweeps, site.Routine+site.Urgent)
		}
		reads := after[keys.Read.Path].Calls - before[keys.Read.Path].Calls
		assert.Assert(t, reads < site.Routine+site.Urgent, "%d reads", reads)
	})
}
