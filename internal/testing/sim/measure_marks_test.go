package sim

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
	"postjunction/internal/testing/simclient"
)

// marked runs clients for a time in a fleet and returns the world, its line clients and the time
// that was measured.
func marked(t *testing.T, s Site, seed uint64, n int, habits func(h *simclient.Habits), during func(w *World), f func(w *World, g *LineClients, from, to time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		l := Load{Topics: 24, LiveTopics: 4, SendInterval: time.Second, NoPauses: true, Habits: func(h *simclient.Habits) {
			h.ChangeInterval, h.AwayInterval, h.CountInterval = 0, 0, 0
			habits(h)
		}}
		w.load = l
		_, err := w.Put("c1", l.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		g := w.StartLineClients(n, l)
		time.Sleep(8 * time.Second)
		from := time.Now()
		during(w)
		to := time.Now()
		time.Sleep(2 * time.Second)
		f(w, g, from, to)
		g.stopSending()
		w.cancel()
		g.wg.Wait()
	})
}

func marks(w *World) (n int) {
	for _, v := range views(w) {
		n += v.Tombstones
	}
	return n
}

// TestMeasureForgetting measures the time from a withdrawal to its yes, and what live updates cost
// beside.
func TestMeasureForgetting(t *testing.T) {
	measuring(t)
	for name, s := range halls {
		var yes, with, without []time.Duration
		for seed := range uint64(2) {
			calm := func(*World) { time.Sleep(20 * time.Second) }
			marked(t, s, seed, 30, func(h *simclient.Habits) { h.WithdrawInterval = 3 * time.Second }, calm, func(_ *World, g *LineClients, from, to time.Time) {
				ds, open := g.Checker.WithdrawalLatencies(from, to.Add(-5*time.Second))
				assert.Equal(t, open, 0)
				yes, with = append(yes, ds...), append(with, g.Checker.DeliveryLatencies(from, to, nil)...)
			})
			marked(t, s, seed, 30, func(h *simclient.Habits) { h.WithdrawInterval, h.KeyedFraction = 0, 0 }, calm, func(_ *World, g *LineClients, from, to time.Time) {
				without = append(without, g.Checker.DeliveryLatencies(from, to, nil)...)
			})
		}
		for _, ds := range [][]time.Duration{yes, with, without} {
			slices.Sort(ds)
		}
		t.Logf("%s: %d withdrawals, yes after p50 %s p99 %s; updates with keys and withdrawals p50 %s p99 %s of %d, without p50 %s p99 %s of %d", name, len(yes), quantile(yes, 0.5), quantile(yes, 0.99),
			quantile(with, 0.5), quantile(with, 0.99), len(with), quantile(without, 0.5), quantile(without, 0.99), len(without))
	}
}

// TestMeasureTombstones counts the marks that stand under churn, with one router away and when it
// is given up.
func TestMeasureTombstones(t *testing.T) {
	measuring(t)
	for name, s := range halls {
		var say string
		marked(t, s, 1, 10, func(h *simclient.Habits) { h.WithdrawInterval, h.Keys = 2*time.Second, 50 }, func(w *World) {
			for i := range 12 {
				if i == 2 {
					w.Isolate("a1")
				}
				if i == 8 {
					w.Heal()
				}
				say += fmt.Sprintf(" %d", marks(w))
				time.Sleep(10 * time.Second)
			}
		}, func(_ *World, g *LineClients, from, to time.Time) {
			ds, open := g.Checker.WithdrawalLatencies(from, to)
			t.Logf("%s: marks every 10 s, a router away from 20 s to 80 s:%s; %d yes, %d open", name, say, len(ds), open)
		})
	}
}

// TestMeasureTombstoneBytes counts what a mark and a reader take in an owner's memory, in its
// changelog and in its ledger.
func TestMeasureTombstoneBytes(t *testing.T) {
	measuring(t)
	const n = 10_000
	for what, entry := range map[string]func(i int) log.Entry{
		"mark": func(i int) log.Entry {
			return log.Entry{Type: log.TypeWithdrawal, Offset: uint64(i + 1), Topic: "station/zone-b/seat-3", Key: fmt.Sprintf("turn-%08d", i), Client: "coordinator-17", CallSeq: uint64(i + 1)}
		},
		"reader": func(i int) log.Entry {
			return log.Entry{Type: log.TypeReader, Offset: uint64(i + 1), Client: fmt.Sprintf("access-%05d", i), Body: state.EncodeBody(state.ReaderEntry{BootID: "7daa68ab16870a7c"})}
		},
	} {
		var a, b runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&a)
		s, bytes := state.New(), 0
		for i := range n {
			e := entry(i)
			x, err := json.Marshal(e)
			assert.NilError(t, err)
			bytes += len(x)
			s.Apply(e)
		}
		items := 0
		for _, i := range s.TakeChanges() {
			if i.Key[:2] == "m:" || i.Key[:2] == "r:" {
				items += len(i.Key) + len(i.Value)
			}
		}
		for k, v := range s.Accepted {
			v.Recent = nil
			s.Accepted[k] = v
		}
		runtime.GC()
		runtime.ReadMemStats(&b)
		t.Logf("%s: %d bytes in memory, %d in the changelog, %d as an entry", what, int(b.HeapAlloc-a.HeapAlloc)/n, items/n, bytes/n)
		runtime.KeepAlive(s)
	}
}
