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

// Routine callers flood every node and every owner at once; then a store is lost beside the flood,
// and comes back with an empty disk, so that take-overs and repair of routine partitions run beside
// it too. Urgent calls keep their time.
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
		urgent := []string{w.records()[partition.Of("stop/line", true, layout)].Leader, w.records()[partition.OfClient("lead", true, layout)].Leader}
		callSeq := uint64(0)
		longest := func(duration time.Duration) time.Duration {
			var most time.Duration
			for start := time.Now(); time.Since(start) < duration; {
				callSeq++
				start := time.Now()
				_, err := w.Port("a1").Send(w.ctx, urgentClient.Token, "stop/line", callSeq, []byte(`"stop"`))
				assert.NilError(t, err, "an urgent call was turned away")
				most = max(most, time.Since(start))
				time.Sleep(20 * time.Millisecond)
			}
			return most
		}
		baseline := longest(time.Second)
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
					_, err := w.Port(through).Send(callCtx, token, fmt.Sprintf("kept/t%d", i%load.Topics), callSeq, []byte(`1`))
					done()
					mu.Lock()
					if err == nil {
						callSeq++
						accepted++
					} else if apierror.HasCode(err, apierror.Overloaded) {
						shed++
						assert.Check(t, apierror.From(err).RetryAfterMS > 0, "no hint when to come back")
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
		flooded := longest(700 * time.Millisecond)
		lost := ""
		for _, node := range w.Names {
			if node[0] == 's' && !slices.Contains(urgent, node) {
				lost = node
			}
		}
		before := epochs()
		w.Wipe(lost)
		beside := longest(4500 * time.Millisecond)
		assert.NilError(t, w.Start(lost))
		repaired := longest(time.Second)
		limit := 3*baseline + 2*time.Millisecond
		if epochs() != before {
			limit = 2 * site.Timing.MaxBackoff()
			t.Logf("a copy of an urgent partition was replaced too, and its owner opened it anew")
		}
		stop()
		wg.Wait()
		t.Logf("urgent, longest: calm %s, flooded %s, beside a lost store %s, beside its repair %s; routine taken %d, shed %d", baseline, flooded, beside, repaired, accepted, shed)
		assert.Assert(t, shed > accepted/10, "void: the flood was none")
		w.History.Overtaken("stop/line", "a flood", flooded, 3*baseline+2*time.Millisecond)
		w.History.Overtaken("stop/line", "a lost store", beside, limit)
		w.History.Overtaken("stop/line", "a repair", repaired, limit)
	})
}
