package sim

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/node"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
)

var wide = Load{HTTPClients: 4, Topics: 40, LiveTopics: 2, UrgentSenders: 1, SendInterval: 500 * time.Millisecond}

// takers sends a message into each partition through a1, one after the other, and gives the longest
// time between two takings.
type takers struct {
	mu   sync.Mutex
	last map[int]time.Time
	gap  map[int]time.Duration
	wg   sync.WaitGroup
	stop context.CancelFunc
}

func (w *World) takers(through string) *takers {
	ctx, stop := context.WithCancel(w.ctx)
	k := &takers{last: map[int]time.Time{}, gap: map[int]time.Duration{}, stop: stop}
	n := w.Machines[through].Node()
	topics := map[int]string{}
	l := n.VoterSet().Layout
	for i := range wide.Topics {
		t := fmt.Sprintf("kept/t%d", i)
		topics[partition.Of(t, false, l)] = t
	}
	topics[partition.Of("stop/line", true, l)] = "stop/line"
	for p := range topics {
		k.last[p] = time.Now()
	}
	for p, t := range topics {
		k.wg.Go(func() { k.send(ctx, n, p, t) })
	}
	return k
}

func (k *takers) send(ctx context.Context, n *node.Node, p int, topic string) {
	for c := uint64(1); ctx.Err() == nil; {
		cx, stop := context.WithTimeout(ctx, time.Second)
		_, err := n.Clients.Router.Submit(cx, p, &leader.Message{Client: "taker", Topic: topic, CallSeq: c, Body: []byte(`1`)})
		stop()
		if err == nil {
			c++
			k.took(p)
		}
		_ = sleep(ctx, 10*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *takers) took(p int) {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gap[p] = max(k.gap[p], now.Sub(k.last[p]))
	k.last[p] = now
}

// worst ends the senders and gives the longest time in which some partition took nothing.
func (k *takers) worst() time.Duration {
	k.mu.Lock()
	ps := slices.Collect(maps.Keys(k.last))
	k.mu.Unlock()
	for _, p := range ps {
		k.took(p)
	}
	k.stop()
	k.wg.Wait()
	w := time.Duration(0)
	for _, g := range k.gap {
		w = max(w, g)
	}
	return w
}

func controllerNode(w *World) string {
	for _, n := range w.Names {
		if x := w.Machines[n].Node(); x != nil && x.IsPlacementController() {
			return n
		}
	}
	return "c1"
}

// Thirteen is the smaller deployment as it stands.
var thirteen = func() Site {
	s := Armor
	s.Access, s.Routine, s.Urgent = 7, 12, 4
	return s
}()

var losses = []struct {
	name string
	most time.Duration
	f    func(w *World)
}{
	{"store killed", time.Second, func(w *World) { w.Kill(busiest(w)) }},
	{"store without power", 2 * time.Second, func(w *World) { w.LosePower(busiest(w), false) }},
	{"store frozen", 2 * time.Second, func(w *World) { w.Freeze(busiest(w)) }},
	{"store cut off", 2 * time.Second, func(w *World) { w.Isolate(busiest(w)) }},
	{"store killed, back after 50 ms", time.Second, back(50 * time.Millisecond)},
	{"store killed, back after 300 ms", time.Second, back(300 * time.Millisecond)},
	{"store killed, back after 800 ms", time.Second, back(800 * time.Millisecond)},
	{"store asked to stop", 200 * time.Millisecond, func(w *World) { w.Terminate(busiest(w)) }},
	{"duty holder killed", 200 * time.Millisecond, func(w *World) { w.Kill(controllerNode(w)) }},
	{"duty holder and store killed", time.Second, func(w *World) {
		h := controllerNode(w)
		w.Kill(busiest(w))
		w.Kill(h)
	}},
	{"duty holder and store without power", 2 * time.Second, func(w *World) {
		h := controllerNode(w)
		w.LosePower(busiest(w), false)
		w.LosePower(h, false)
	}},
	{"all control killed, back after 500 ms", time.Second, func(w *World) { w.bounce(500*time.Millisecond, "c") }},
	{"all with a disk killed, back after 500 ms", 2 * time.Second, func(w *World) { w.bounce(500*time.Millisecond, "cs") }},
}

func (w *World) bounce(d time.Duration, kinds string) {
	var ns []string
	for _, n := range w.Names {
		for _, k := range kinds {
			if n[0] == byte(k) {
				ns = append(ns, n)
				w.Kill(n)
			}
		}
	}
	time.Sleep(d)
	_ = w.Start(ns...)
}

func back(d time.Duration) func(*World) {
	return func(w *World) {
		o := busiest(w)
		w.Kill(o)
		time.Sleep(d)
		_ = w.Start(o)
	}
}

// standing brings a fleet up whose partitions all have owners, with a description for takers.
func standing(t *testing.T, s Site, seed uint64) *World {
	w := New(s, seed, Logger())
	assert.NilError(t, w.Start(w.Names...))
	assert.NilError(t, w.WaitReady(20*time.Second))
	assert.NilError(t, w.WaitUntil(20*time.Second, "described", func() bool {
		_, err := w.Put("a1", wide.Configuration(0))
		return err == nil
	}))
	time.Sleep(6 * time.Second)
	return w
}

func gapOf(t *testing.T, s Site, seed uint64, f func(*World)) (d time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w := standing(t, s, seed)
		defer w.Close()
		k := w.takers("a1")
		time.Sleep(time.Second + time.Duration(w.Int(1000))*time.Millisecond)
		f(w)
		time.Sleep(8 * time.Second)
		d = k.worst()
	})
	return d
}

// TestMeasureService measures how long some partition takes nothing, for each way that machines go.
func TestMeasureService(t *testing.T) {
	measuring(t)
	for _, x := range losses {
		var ds []time.Duration
		var mu sync.Mutex
		t.Run(x.name, func(t *testing.T) {
			for seed := range uint64(12) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					d := gapOf(t, thirteen, seed, x.f)
					mu.Lock()
					defer mu.Unlock()
					ds = append(ds, d.Round(time.Millisecond))
				})
			}
		})
		if len(ds) == 0 {
			continue
		}
		slices.Sort(ds)
		t.Logf("%-42s p50 %s, max %s", x.name, ds[len(ds)/2], ds[len(ds)-1])
	}
}
