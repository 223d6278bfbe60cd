package sim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

// restarts are the ways in which processes end and start again.
var restarts = []struct {
	name     string
	stop     func(w *World) []string
	downtime func(w *World) time.Duration
}{
	{"the whole fleet loses power", func(w *World) []string {
		for _, n := range w.Names {
			w.LosePower(n, w.Int(2) == 0)
		}
		return w.Names
	}, shortDowntime},
	{"all core processes are killed", func(w *World) []string {
		names := slices.DeleteFunc(slices.Clone(w.Names), func(n string) bool { return n[0] == 'a' })
		for _, n := range names {
			w.Kill(n)
		}
		return names
	}, shortDowntime},
	{"one storage node is killed", func(w *World) []string {
		n := busiest(w)
		w.Kill(n)
		return []string{n}
	}, func(*World) time.Duration { return 2 * time.Second }},
}

func shortDowntime(w *World) time.Duration { return time.Duration(500+w.Int(1200)) * time.Millisecond }

func restartSite(seed uint64) Site {
	site := siteForSeed(seed)
	site.Access, site.Routine, site.Urgent, site.Sync = 2, 12, 4, 5*time.Millisecond
	return site
}

var restartLoad = Load{HTTPClients: 1, Topics: 40, LiveTopics: 4, UrgentSenders: 1}

// serviceTimes are the times from the start of the processes until each access node opens a topic,
// gets a message of it accepted, and delivers one.
type serviceTimes struct{ open, accept, deliver []time.Duration }

// measureRestart stops nodes of a fleet and starts them again. It sends to and subscribes to every
// topic through every access node until all are served.
func measureRestart(t *testing.T, w *World, stopNodes func(*World) []string, downtime time.Duration) serviceTimes {
	t.Helper()
	var topics []string
	for i := range restartLoad.Topics {
		topics = append(topics, fmt.Sprintf("kept/t%d", i))
	}
	topics = append(topics, "stop/line")
	_, err := w.Put("c1", restartLoad.Configuration(0))
	assert.NilError(t, err)
	time.Sleep(w.Site.Timing.Spread)
	var mu sync.Mutex
	lastOffset := map[string]uint64{}
	send := func(node, topic, client string, callSeq uint64) bool {
		running := w.Machines[node].Node()
		if running == nil || running.Ready() != nil {
			return false
		}
		space, err := running.Store.Index().Find(topic)
		if err != nil {
			return false
		}
		p := partition.Of(topic, space.Urgent, running.Store.VoterSet().Layout)
		result := make(chan error, 1)
		running.Sessions.PartitionLog.SubmitAsync(w.ctx, p, &leader.Message{Client: client, Topic: topic, CallSeq: callSeq, Body: []byte(`"b"`)}, time.Now().Add(w.Site.Timing.CallTimeout()), func(decision *leader.Decision, err error) {
			if err == nil {
				mu.Lock()
				lastOffset[topic] = max(lastOffset[topic], decision.Offset)
				mu.Unlock()
			}
			result <- err
		})
		select {
		case err := <-result:
			return err == nil
		case <-time.After(w.Site.Timing.Recovery):
			return false
		}
	}
	for _, topic := range topics {
		assert.NilError(t, w.WaitUntil(20*time.Second, topic+" is accepted", func() bool { return send("a1", topic, "warm", 1) }))
	}
	offsetBefore := map[string]uint64{}
	for topic, offset := range lastOffset {
		offsetBefore[topic] = offset
	}
	names := stopNodes(w)
	time.Sleep(downtime)
	startedAt := time.Now()
	assert.NilError(t, w.Start(names...))
	var times serviceTimes
	var wg sync.WaitGroup
	callCtx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	recordTime := func(times *[]time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		*times = append(*times, time.Since(startedAt))
	}
	tick := func() { time.Sleep(5 * time.Millisecond) }
	for i := range w.Site.Access {
		node := fmt.Sprintf("a%d", i+1)
		for _, topic := range topics {
			wg.Go(func() {
				for callCtx.Err() == nil && !send(node, topic, "back"+node, 1) {
					tick()
				}
				recordTime(&times.accept)
			})
			wg.Go(func() {
				for callCtx.Err() == nil {
					running := w.Machines[node].Node()
					if running == nil || running.Ready() != nil || running.Store.VoterSet().Sequence == 0 {
						tick()
						continue
					}
					space, err := running.Store.Index().Find(topic)
					if err != nil {
						tick()
						continue
					}
					after := offsetBefore[topic]
					subscription := running.Sessions.Hub.NewSubscription(partition.Of(topic, space.Urgent, running.Store.VoterSet().Layout), topic)
					subscription.After = &after
					opened, delivered, broken := make(chan error, 1), make(chan struct{}), make(chan struct{})
					var once sync.Once
					subscription.OnOpen = func(_ uint64, err error) { opened <- err }
					subscription.OnEntry = func(log.Entry) { once.Do(func() { close(delivered) }) }
					subscription.OnBroken = func() { close(broken) }
					running.Sessions.Hub.Subscribe(subscription)
					select {
					case err = <-opened:
					case <-callCtx.Done():
						return
					}
					if err != nil {
						tick()
						continue
					}
					recordTime(&times.open)
					select {
					case <-delivered:
						recordTime(&times.deliver)
					case <-broken:
					case <-callCtx.Done():
					}
					running.Sessions.Hub.Unsubscribe(subscription)
					return
				}
			})
		}
	}
	wg.Wait()
	for _, durations := range []*[]time.Duration{&times.open, &times.accept, &times.deliver} {
		slices.Sort(*durations)
		assert.Equal(t, len(*durations), len(topics)*w.Site.Access)
	}
	return times
}

func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))].Round(time.Millisecond)
}

// TestMeasureBoot measures the time from the start of processes to service.
func TestMeasureBoot(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, restart := range restarts {
		var allTimes serviceTimes
		var worst []time.Duration
		for seed := range uint64(seeds(8)) {
			runFleet(t, restartSite(seed), seed, func(t *testing.T, w *World) {
				times := measureRestart(t, w, restart.stop, restart.downtime(w))
				allTimes.open, allTimes.accept, allTimes.deliver = append(allTimes.open, times.open...), append(allTimes.accept, times.accept...), append(allTimes.deliver, times.deliver...)
				worst = append(worst, max(percentile(times.open, 1), percentile(times.accept, 1), percentile(times.deliver, 1)))
			})
		}
		slices.Sort(worst)
		for _, series := range []struct {
			what  string
			times []time.Duration
		}{{"opened", allTimes.open}, {"accepted", allTimes.accept}, {"delivered", allTimes.deliver}} {
			slices.Sort(series.times)
			t.Logf("%s, %s: p10 %s, p50 %s, p90 %s, max %s", restart.name, series.what, percentile(series.times, .1), percentile(series.times, .5), percentile(series.times, .9), percentile(series.times, 1))
		}
		t.Logf("%s: everything after p50 %s, %s to %s", restart.name, percentile(worst, .5), worst[0], percentile(worst, 1))
	}
}

// Guards against a restart of all nodes after which every topic takes more than a second. This came
// about in three ways: gossip delivered the records after the placement controller had read them,
// leaders tried an epoch that their disk had used, and every failed step was retried after the
// longest backoff.
func TestServiceIsBackSoonAfterProcessesStart(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, restart := range restarts {
		for seed := range uint64(seeds(2)) {
			runFleet(t, restartSite(seed), 300+seed, func(t *testing.T, w *World) {
				times := measureRestart(t, w, restart.stop, restart.downtime(w))
				slowest := max(percentile(times.open, 1), percentile(times.accept, 1), percentile(times.deliver, 1))
				assert.Assert(t, slowest < w.Site.Timing.ReconcileInterval(), "seed %d: %s: everything only after %s", seed, restart.name, slowest)
			})
		}
	}
}
