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

// isRoutineCall reports whether a call between machines belongs to a routine partition.
func (w *World) isRoutineCall(call CallPoint) bool {
	if !strings.Contains(call.Path, "Ledger") {
		return false
	}
	var request struct {
		Partition   *int `json:"p"`
		Incarnation string
		Topic       string `json:"t"`
		Urgent      bool   `json:"u"`
		Client      string `json:"v"`
	}
	if wire.Unmarshal(call.Body, &request) != nil {
		return false
	}
	switch {
	case request.Partition != nil:
		return *request.Partition < w.Site.Routine
	case request.Topic != "":
		return !strings.HasPrefix(request.Topic, "stop/")
	}
	return !request.Urgent
}

// All routine partitions are stalled: nothing is appended, read, handed over or failed over in
// them. Urgent calls of attached clients continue unaffected. So do urgent streams, old and new,
// whether or not they share a request with routine topics.
func TestUrgentProceedsWhileRoutineIsStalled(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(3)) {
		runFleet(t, siteForSeed(seed), 120+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			urgentClient, routineClient, returningClient, newClient := attach(t, w, "a1", "lead"), attach(t, w, "c2", "desk"), attach(t, w, "c1", "late"), attach(t, w, "c2", "early")
			callSeq := uint64(0)
			var mu sync.Mutex
			received := map[string]map[uint64]time.Time{}
			openStream := func(name, through, token, cursor string, topics ...string) {
				mu.Lock()
				received[name] = map[uint64]time.Time{}
				mu.Unlock()
				w.wg.Go(func() {
					_ = w.Transport(through).Follow(w.ctx, token, topics, cursor, func(event client.Event) error {
						mu.Lock()
						defer mu.Unlock()
						if event.Topic == "stop/line" {
							received[name][event.CallSeq] = time.Now()
						}
						return nil
					})
				})
			}
			send := func(count int) time.Duration {
				var slowest time.Duration
				for range count {
					callSeq++
					start := time.Now()
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
					_, err := w.Transport("a1").Send(ctx, urgentClient.Token, "stop/line", callSeq, []byte(`"stop"`))
					stop()
					assert.NilError(t, err)
					slowest = max(slowest, time.Since(start))
					time.Sleep(20 * time.Millisecond)
				}
				return slowest
			}
			_, cursor, _ := follow(w, "c1", returningClient.Token, "", []string{"stop/line", "kept/t0"}, time.Second)
			for callSeq := range uint64(5) {
				_, err := w.Transport("a1").Send(w.ctx, routineClient.Token, "kept/t0", callSeq+1, []byte(`"missed"`))
				assert.NilError(t, err)
			}
			existingClient := attach(t, w, "c3", "back")
			openStream("beside", "c3", existingClient.Token, "", "stop/line", "kept/t0")
			openStream("old, shared", "a1", routineClient.Token, "", "stop/line", "kept/t0", "kept/t1", "kept/t2")
			time.Sleep(time.Second)
			baseline := send(20)
			release, hits := w.PauseCalls(w.isRoutineCall)
			time.Sleep(w.Site.Timing.MaxBackoff())
			for i := range 30 {
				w.wg.Go(func() {
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
					defer stop()
					_, _ = w.Transport("a1").Send(ctx, routineClient.Token, fmt.Sprintf("kept/t%d", i%load.Topics), 1, []byte(`1`))
				})
			}
			openStream("behind, shared", "c3", returningClient.Token, cursor, "stop/line", "kept/t0")
			openStream("new, shared", "c2", newClient.Token, "", "stop/line", "kept/t3", "kept/t4")
			openTime := w.Site.Timing.MaxBackoff() * 3 / 2
			time.Sleep(openTime)
			firstCall := callSeq + 1
			stalled := send(20)
			time.Sleep(time.Second)
			assert.Assert(t, hits() > 10, "void: nothing was paused")
			w.History.UrgentCall("stop/line", "stalled routine partitions", stalled, 3*baseline+2*time.Millisecond)
			mu.Lock()
			for name, calls := range received {
				for expected := firstCall; expected <= callSeq; expected++ {
					assert.Assert(t, !calls[expected].IsZero(), "%s never got urgent call %d", name, expected)
				}
			}
			mu.Unlock()
			release()
			t.Logf("urgent, longest of 20: baseline %s, routine stalled %s, %d calls paused", baseline, stalled, hits())
		})
	}
}
