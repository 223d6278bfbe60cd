package sim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client"
	"postjunction/internal/wire"
)

// routineWork tells whether a call between machines belongs to a routine partition.
func (w *World) routineWork(x CallPoint) bool {
	if !strings.Contains(x.Path, "Ledger") {
		return false
	}
	var q struct {
		Partition   *int `json:"p"`
		Incarnation string
		Topic       string `json:"t"`
		Urgent      bool   `json:"u"`
		Client      string `json:"v"`
	}
	if wire.Unmarshal(x.Body, &q) != nil {
		return false
	}
	switch {
	case q.Partition != nil:
		return *q.Partition < w.Site.Routine
	case q.Topic != "":
		return !strings.HasPrefix(q.Topic, "stop/")
	}
	return !q.Urgent
}

// All routine partitions stand still: nothing is appended, read, handed over or taken over in them.
// Urgent calls of attached callers, their streams, old and new, shared with routine topics or not,
// go on as if nothing had happened.
func TestUrgentGoesThroughWhileRoutineWorkStandsStill(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(3)) {
		stand(t, siteForSeed(seed), 120+seed, func(t *testing.T, w *World) {
			described(t, w)
			lead, router, late, early := attach(t, w, "a1", "lead"), attach(t, w, "c2", "desk"), attach(t, w, "c1", "late"), attach(t, w, "c2", "early")
			n := uint64(0)
			var mu sync.Mutex
			got := map[string]map[uint64]time.Time{}
			listen := func(name, through, token, cursor string, topics ...string) {
				mu.Lock()
				got[name] = map[uint64]time.Time{}
				mu.Unlock()
				w.wg.Go(func() {
					_ = w.Transport(through).Follow(w.ctx, token, topics, cursor, func(l client.Event) error {
						mu.Lock()
						defer mu.Unlock()
						if l.Topic == "stop/line" {
							got[name][l.CallSeq] = time.Now()
						}
						return nil
					})
				})
			}
			send := func(k int) time.Duration {
				var most time.Duration
				for range k {
					n++
					at := time.Now()
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
					_, err := w.Transport("a1").Send(ctx, lead.Token, "stop/line", n, []byte(`"stop"`))
					stop()
					assert.NilError(t, err)
					most = max(most, time.Since(at))
					time.Sleep(20 * time.Millisecond)
				}
				return most
			}
			_, cursor, _ := follow(w, "c1", late.Token, "", []string{"stop/line", "kept/t0"}, time.Second)
			for c := range uint64(5) {
				_, err := w.Transport("a1").Send(w.ctx, router.Token, "kept/t0", c+1, []byte(`"missed"`))
				assert.NilError(t, err)
			}
			back := attach(t, w, "c3", "back")
			listen("beside", "c3", back.Token, "", "stop/line", "kept/t0")
			listen("old, shared", "a1", router.Token, "", "stop/line", "kept/t0", "kept/t1", "kept/t2")
			time.Sleep(time.Second)
			calm := send(20)
			release, hits := w.PauseCalls(w.routineWork)
			time.Sleep(w.Site.Timing.MaxBackoff())
			for i := range 30 {
				w.wg.Go(func() {
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
					defer stop()
					_, _ = w.Transport("a1").Send(ctx, router.Token, fmt.Sprintf("kept/t%d", i%load.Topics), 1, []byte(`1`))
				})
			}
			listen("behind, shared", "c3", late.Token, cursor, "stop/line", "kept/t0")
			listen("new, shared", "c2", early.Token, "", "stop/line", "kept/t3", "kept/t4")
			opened := w.Site.Timing.MaxBackoff() * 3 / 2
			time.Sleep(opened)
			first := n + 1
			busy := send(20)
			time.Sleep(time.Second)
			assert.Assert(t, hits() > 10, "void: nothing was held")
			w.History.UrgentCall("stop/line", "routine partitions that stand still", busy, 3*calm+2*time.Millisecond)
			mu.Lock()
			for name, calls := range got {
				for c := first; c <= n; c++ {
					assert.Assert(t, !calls[c].IsZero(), "%s never got urgent call %d", name, c)
				}
			}
			mu.Unlock()
			release()
			t.Logf("urgent, longest of 20: calm %s, routine standing still %s, %d calls held", calm, busy, hits())
		})
	}
}
