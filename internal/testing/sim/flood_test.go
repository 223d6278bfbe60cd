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
	long(t)
	s := Armor
	stand(t, s, 400, func(t *testing.T, w *World) {
		for _, m := range w.Machines {
			o := m.Opts
			o.Backlog = 8
			assert.NilError(t, m.Node().Apply(o))
		}
		described(t, w)
		l := w.Machines["a1"].Node().VoterSet().Layout
		lead := attach(t, w, "a1", "lead")
		urgent := []string{w.records()[partition.Of("stop/line", true, l)].Leader, w.records()[partition.OfClient("lead", true, l)].Leader}
		n := uint64(0)
		longest := func(d time.Duration) time.Duration {
			var most time.Duration
			for begun := time.Now(); time.Since(begun) < d; {
				n++
				at := time.Now()
				_, err := w.Transport("a1").Send(w.ctx, lead.Token, "stop/line", n, []byte(`"stop"`))
				assert.NilError(t, err, "an urgent call was turned away")
				most = max(most, time.Since(at))
				time.Sleep(20 * time.Millisecond)
			}
			return most
		}
		calm := longest(time.Second)
		ctx, stop := context.WithCancel(w.ctx)
		var wg sync.WaitGroup
		var mu sync.Mutex
		taken, shed := 0, 0
		tokens := make([]string, 10*len(w.Names))
		for i := range tokens {
			tokens[i] = attach(t, w, "c1", fmt.Sprintf("flood%d", i)).Token
		}
		for i, tok := range tokens {
			through := w.Names[i%len(w.Names)]
			wg.Go(func() {
				for c := uint64(1); ctx.Err() == nil; {
					cx, done := context.WithTimeout(ctx, s.Timing.Spread)
					_, err := w.Transport(through).Send(cx, tok, fmt.Sprintf("kept/t%d", i%load.Topics), c, []byte(`1`))
					done()
					mu.Lock()
					if err == nil {
						c++
						taken++
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
		epochs := func() (n uint64) {
			for p, r := range w.records() {
				if partition.Urgent(p, l) {
					n += r.Epoch
				}
			}
			return n
		}
		flooded := longest(700 * time.Millisecond)
		lost := ""
		for _, x := range w.Names {
			if x[0] == 's' && !slices.Contains(urgent, x) {
				lost = x
			}
		}
		was := epochs()
		w.Wipe(lost)
		beside := longest(4500 * time.Millisecond)
		assert.NilError(t, w.Start(lost))
		repaired := longest(time.Second)
		limit := 3*calm + 2*time.Millisecond
		if epochs() != was {
			limit = 2 * s.Timing.MaxBackoff()
			t.Logf("a copy of an urgent partition was replaced too, and its owner opened it anew")
		}
		stop()
		wg.Wait()
		t.Logf("urgent, longest: calm %s, flooded %s, beside a lost store %s, beside its repair %s; routine taken %d, shed %d", calm, flooded, beside, repaired, taken, shed)
		assert.Assert(t, shed > taken/10, "void: the flood was none")
		w.History.UrgentCall("stop/line", "a flood", flooded, 3*calm+2*time.Millisecond)
		w.History.UrgentCall("stop/line", "a lost store", beside, limit)
		w.History.UrgentCall("stop/line", "a repair", repaired, limit)
	})
}
