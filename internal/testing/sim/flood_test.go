package sim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partition"
)

// Routine clients overload every node and every partition leader at once. Then a storage node is
// lost and returns with an empty disk, so that failovers and repair of routine partitions run
// meanwhile too. Urgent calls keep their latency.
func TestUrgentUnderFlood(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	site := Armor
	runFleet(t, site, 400, func(t *testing.T, w *World) {
		for _, machine := range w.Machines {
			options := machine.Opts
			options.Backlog = 8
			assert.NilError(t, machine.Node().Apply(options))
		}
		applyConfiguration(t, w)
		layout := w.Machines["a1"].Node().VoterSet().Layout
		urgentClient := attach(t, w, "a1", "lead")
		urgentLeaders := []string{w.records()[partition.Of("stop/line", true, layout)].Leader, w.records()[partition.OfClient("lead", true, layout)].Leader}
		callSeq := uint64(0)
		slowestCall := func(duration time.Duration) time.Duration {
			var slowest time.Duration
			for start := time.Now(); time.Since(start) < duration; {
				callSeq++
				sentAt := time.Now()
				_, err := w.Transport("a1").Send(w.ctx, urgentClient.Token, "stop/line", callSeq, []byte(`"stop"`))
				assert.NilError(t, err, "an urgent call was rejected")
				slowest = max(slowest, time.Since(sentAt))
				time.Sleep(20 * time.Millisecond)
			}
			return slowest
		}
		baseline := slowestCall(time.Second)
		ctx, stop := context.WithCancel(w.ctx)
		var wg sync.WaitGroup
		var mu sync.Mutex
		accepted, shed := 0, 0
		tokens := make([]string, 10*len(w.Names))
		for i := range tokens {
			tokens[i] = attach(t, w, "c1", fmt.Sprintf("flood%d", i)).Token
		}
		for i, token := range tokens {
			through := w.Names[i%len(w.Names)]
			wg.Go(func() {
				for callSeq := uint64(1); ctx.Err() == nil; {
					callCtx, done := context.WithTimeout(ctx, site.Timing.Spread)
					_, err := w.Transport(through).Send(callCtx, token, fmt.Sprintf("kept/t%d", i%load.Topics), callSeq, []byte(`1`))
					done()
					mu.Lock()
					if err == nil {
						callSeq++
						accepted++
					} else if apierror.HasCode(err, apierror.Overloaded) {
						shed++
						assert.Check(t, apierror.From(err).RetryAfterMS > 0, "no hint when to retry")
					}
					mu.Unlock()
					if err != nil {
						time.Sleep(3 * time.Millisecond)
					}
				}
			})
		}
		epochs := func() (sum uint64) {
			for partitionID, r := range w.records() {
				if partition.Urgent(partitionID, layout) {
					sum += r.Epoch
				}
			}
			return sum
		}
		underFlood := slowestCall(700 * time.Millisecond)
		lost := ""
		for _, node := range w.Names {
			if node[0] == 's' && !slices.Contains(urgentLeaders, node) {
				lost = node
			}
		}
		before := epochs()
		w.Wipe(lost)
		withNodeLost := slowestCall(4500 * time.Millisecond)
		assert.NilError(t, w.Start(lost))
		duringRepair := slowestCall(time.Second)
		limit := 3*baseline + 2*time.Millisecond
		if epochs() != before {
			limit = 2 * site.Timing.MaxBackoff()
			t.Logf("a replica of an urgent partition was replaced too, and its leader reopened the partition")
		}
		stop()
		wg.Wait()
		t.Logf("urgent, longest: baseline %s, flooded %s, with a lost storage node %s, during its repair %s; routine accepted %d, shed %d", baseline, underFlood, withNodeLost, duringRepair, accepted, shed)
		assert.Assert(t, shed > accepted/10, "void: too few calls were shed for a flood")
		w.History.UrgentCall("stop/line", "a flood", underFlood, 3*baseline+2*time.Millisecond)
		w.History.UrgentCall("stop/line", "a lost storage node", withNodeLost, limit)
		w.History.UrgentCall("stop/line", "a repair", duringRepair, limit)
	})
}
