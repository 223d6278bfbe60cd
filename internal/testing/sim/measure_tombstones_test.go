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

// measureSessions runs client sessions in a fleet. It passes the world, its clients and the
// measured time range to a function.
func measureSessions(t *testing.T, site Site, seed uint64, clientCount int, configure func(habits *simclient.Habits), during func(w *World), measure func(w *World, clients *LineClients, from, to time.Time)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		traffic := Load{Topics: 24, LiveTopics: 4, SendInterval: time.Second, NoPauses: true, Habits: func(habits *simclient.Habits) {
			habits.ChangeInterval, habits.AwayInterval, habits.CountInterval = 0, 0, 0
			configure(habits)
		}}
		w.load = traffic
		_, err := w.Put("c1", traffic.Configuration(0))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		clients := w.StartLineClients(clientCount, traffic)
		time.Sleep(8 * time.Second)
		from := time.Now()
		during(w)
		to := time.Now()
		time.Sleep(2 * time.Second)
		measure(w, clients, from, to)
		clients.stopSending()
		w.cancel()
		clients.wg.Wait()
	})
}

func tombstoneCount(w *World) (count int) {
	for _, view := range leaderViews(w) {
		count += view.Tombstones
	}
	return count
}

// TestMeasureWithdrawals measures the time from a withdrawal to its acknowledgement, and the delay
// of live updates meanwhile.
func TestMeasureWithdrawals(t *testing.T) {
	skipUnlessMeasuring(t)
	for name, site := range withdrawalSites {
		var acknowledged, withKeys, withoutKeys []time.Duration
		for seed := range uint64(2) {
			idle := func(*World) { time.Sleep(20 * time.Second) }
			measureSessions(t, site, seed, 30, func(habits *simclient.Habits) { habits.WithdrawInterval = 3 * time.Second }, idle, func(_ *World, clients *LineClients, from, to time.Time) {
				durations, open := clients.Checker.WithdrawalLatencies(from, to.Add(-5*time.Second))
				assert.Equal(t, open, 0)
				acknowledged, withKeys = append(acknowledged, durations...), append(withKeys, clients.Checker.DeliveryLatencies(from, to, nil)...)
			})
			measureSessions(t, site, seed, 30, func(habits *simclient.Habits) { habits.WithdrawInterval, habits.KeyedFraction = 0, 0 }, idle, func(_ *World, clients *LineClients, from, to time.Time) {
				withoutKeys = append(withoutKeys, clients.Checker.DeliveryLatencies(from, to, nil)...)
			})
		}
		for _, durations := range [][]time.Duration{acknowledged, withKeys, withoutKeys} {
			slices.Sort(durations)
		}
		t.Logf("%s: %d withdrawals, acknowledged after p50 %s p99 %s; updates with keys and withdrawals p50 %s p99 %s of %d, without p50 %s p99 %s of %d", name, len(acknowledged), quantile(acknowledged, 0.5), quantile(acknowledged, 0.99),
			quantile(withKeys, 0.5), quantile(withKeys, 0.99), len(withKeys), quantile(withoutKeys, 0.5), quantile(withoutKeys, 0.99), len(withoutKeys))
	}
}

// TestMeasureTombstones counts the existing tombstones under churn, while one router is unreachable
// and when it is given up.
func TestMeasureTombstones(t *testing.T) {
	skipUnlessMeasuring(t)
	for name, site := range withdrawalSites {
		var counts string
		measureSessions(t, site, 1, 10, func(habits *simclient.Habits) { habits.WithdrawInterval, habits.Keys = 2*time.Second, 50 }, func(w *World) {
			for i := range 12 {
				if i == 2 {
					w.Isolate("a1")
				}
				if i == 8 {
					w.Heal()
				}
				counts += fmt.Sprintf(" %d", tombstoneCount(w))
				time.Sleep(10 * time.Second)
			}
		}, func(_ *World, clients *LineClients, from, to time.Time) {
			durations, open := clients.Checker.WithdrawalLatencies(from, to)
			t.Logf("%s: tombstones every 10 s, a router unreachable from 20 s to 80 s:%s; %d acknowledged, %d pending", name, counts, len(durations), open)
		})
	}
}

// TestMeasureTombstoneBytes counts the bytes of a tombstone and of a reader in a partition leader's
// memory, in its changelog and in its log.
func TestMeasureTombstoneBytes(t *testing.T) {
	skipUnlessMeasuring(t)
	const entries = 10_000
	for name, entry := range map[string]func(i int) log.Entry{
		"tombstone": func(i int) log.Entry {
			return log.Entry{Type: log.TypeWithdrawal, Offset: uint64(i + 1), Topic: "station/zone-b/seat-3", Key: fmt.Sprintf("turn-%08d", i), Client: "coordinator-17", CallSeq: uint64(i + 1)}
		},
		"reader": func(i int) log.Entry {
			return log.Entry{Type: log.TypeReader, Offset: uint64(i + 1), Client: fmt.Sprintf("access-%05d", i), Body: state.EncodeBody(state.ReaderEntry{BootID: "7daa68ab16870a7c"})}
		},
	} {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		accumulated, bytes := state.New(), 0
		for i := range entries {
			entry := entry(i)
			encoded, err := json.Marshal(entry)
			assert.NilError(t, err)
			bytes += len(encoded)
			accumulated.Apply(entry)
		}
		items := 0
		for _, item := range accumulated.TakeChanges() {
			if item.Key[:2] == "m:" || item.Key[:2] == "r:" {
				items += len(item.Key) + len(item.Value)
			}
		}
		for sender, calls := range accumulated.Accepted {
			calls.Recent = nil
			accumulated.Accepted[sender] = calls
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		t.Logf("%s: %d bytes in memory, %d in the changelog, %d as an entry", name, int(after.HeapAlloc-before.HeapAlloc)/entries, items/entries, bytes/entries)
		runtime.KeepAlive(accumulated)
	}
}
