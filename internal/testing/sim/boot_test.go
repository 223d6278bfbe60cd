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

// boots are the ways in which processes go and come back.
var boots = []struct {
	name string
	down func(w *World) []string
	away func(w *World) time.Duration
}{
	{"the whole fleet loses power", func(w *World) []string {
		for _, n := range w.Names {
			w.LosePower(n, w.Int(2) == 0)
		}
		return w.Names
	}, shortly},
	{"all core processes are killed", func(w *World) []string {
		ns := slices.DeleteFunc(slices.Clone(w.Names), func(n string) bool { return n[0] == 'a' })
		for _, n := range ns {
			w.Kill(n)
		}
		return ns
	}, shortly},
	{"one store is killed", func(w *World) []string {
		n := busiest(w)
		w.Kill(n)
		return []string{n}
	}, func(*World) time.Duration { return 2 * time.Second }},
}

func shortly(w *World) time.Duration { return time.Duration(500+w.Int(1200)) * time.Millisecond }

func bootSite(seed uint64) Site {
	s := siteOf(seed)
	s.Access, s.Routine, s.Urgent, s.Sync = 2, 12, 4, 5*time.Millisecond
	return s
}

var bootLoad = Load{Callers: 1, Topics: 40, LiveTopics: 4, Leads: 1}

// service is how long after the start of the processes each access node opens a topic, has a
// message of it taken, and delivers one.
type service struct{ open, take, give []time.Duration }

// boot has a fleet go and come back, and asks for every topic through every access node all the
// time.
func boot(t *testing.T, w *World, down func(*World) []string, away time.Duration) service {
	t.Helper()
	var topics []string
	for i := range bootLoad.Topics {
		topics = append(topics, fmt.Sprintf("kept/t%d", i))
	}
	topics = append(topics, "stop/line")
	_, err := w.Put("c1", bootLoad.Describe(0))
	assert.NilError(t, err)
	time.Sleep(w.Site.Timing.Spread)
	var mu sync.Mutex
	last := map[string]uint64{}
	send := func(a, topic, who string, call uint64) bool {
		x := w.Machines[a].Node()
		if x == nil || x.Ready() != nil {
			return false
		}
		sp, err := x.Store.Index().Find(topic)
		if err != nil {
			return false
		}
		p := partition.Of(topic, sp.Urgent, x.Store.VoterSet().Layout)
		done := make(chan error, 1)
		x.Sessions.PartitionLog.SubmitAsync(w.ctx, p, &leader.Message{Client: who, Topic: topic, CallSeq: call, Body: []byte(`"b"`)}, time.Now().Add(w.Site.Timing.CallTimeout()), func(d *leader.Decision, err error) {
			if err == nil {
				mu.Lock()
				last[topic] = max(last[topic], d.Offset)
				mu.Unlock()
			}
			done <- err
		})
		select {
		case err := <-done:
			return err == nil
		case <-time.After(w.Site.Timing.Recovery):
			return false
		}
	}
	for _, p := range topics {
		assert.NilError(t, w.WaitUntil(20*time.Second, p+" is taken", func() bool { return send("a1", p, "warm", 1) }))
	}
	from := map[string]uint64{}
	for k, v := range last {
		from[k] = v
	}
	names := down(w)
	time.Sleep(away)
	at := time.Now()
	assert.NilError(t, w.Start(names...))
	var b service
	var wg sync.WaitGroup
	cx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
	defer stop()
	note := func(l *[]time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		*l = append(*l, time.Since(at))
	}
	tick := func() { time.Sleep(5 * time.Millisecond) }
	for i := range w.Site.Access {
		a := fmt.Sprintf("a%d", i+1)
		for _, topic := range topics {
			wg.Go(func() {
				for cx.Err() == nil && !send(a, topic, "back"+a, 1) {
					tick()
				}
				note(&b.take)
			})
			wg.Go(func() {
				for cx.Err() == nil {
					x := w.Machines[a].Node()
					if x == nil || x.Ready() != nil || x.Store.VoterSet().Sequence == 0 {
						tick()
						continue
					}
					sp, err := x.Store.Index().Find(topic)
					if err != nil {
						tick()
						continue
					}
					f := from[topic]
					s := x.Sessions.Hub.NewSubscription(partition.Of(topic, sp.Urgent, x.Store.VoterSet().Layout), topic)
					s.After = &f
					opened, given, broken := make(chan error, 1), make(chan struct{}), make(chan struct{})
					var once sync.Once
					s.OnOpen = func(_ uint64, err error) { opened <- err }
					s.OnEntry = func(log.Entry) { once.Do(func() { close(given) }) }
					s.OnBroken = func() { close(broken) }
					x.Sessions.Hub.Subscribe(s)
					select {
					case err = <-opened:
					case <-cx.Done():
						return
					}
					if err != nil {
						tick()
						continue
					}
					note(&b.open)
					select {
					case <-given:
						note(&b.give)
					case <-broken:
					case <-cx.Done():
					}
					x.Sessions.Hub.Unsubscribe(s)
					return
				}
			})
		}
	}
	wg.Wait()
	for _, l := range []*[]time.Duration{&b.open, &b.take, &b.give} {
		slices.Sort(*l)
		assert.Equal(t, len(*l), len(topics)*w.Site.Access)
	}
	return b
}

func at(l []time.Duration, share float64) time.Duration {
	return l[int(share*float64(len(l)-1))].Round(time.Millisecond)
}

// TestMeasureBoot measures the time from the start of processes to service.
func TestMeasureBoot(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, way := range boots {
		var all service
		var worst []time.Duration
		for seed := range uint64(seeds(8)) {
			runFleet(t, bootSite(seed), seed, func(t *testing.T, w *World) {
				b := boot(t, w, way.down, way.away(w))
				all.open, all.take, all.give = append(all.open, b.open...), append(all.take, b.take...), append(all.give, b.give...)
				worst = append(worst, max(at(b.open, 1), at(b.take, 1), at(b.give, 1)))
			})
		}
		slices.Sort(worst)
		for _, l := range []struct {
			what string
			l    []time.Duration
		}{{"joined", all.open}, {"taken", all.take}, {"delivered", all.give}} {
			slices.Sort(l.l)
			t.Logf("%s, %s: p10 %s, p50 %s, p90 %s, max %s", way.name, l.what, at(l.l, .1), at(l.l, .5), at(l.l, .9), at(l.l, 1))
		}
		t.Logf("%s: everything after p50 %s, %s to %s", way.name, at(worst, .5), worst[0], at(worst, 1))
	}
}

// After a restart of all nodes every topic once took more than a second: the records came by gossip
// after the duty had read them, owners tried an epoch that their disk had used, and every step that
// failed was tried again after the longest pause.
func TestServiceIsBackSoonAfterProcessesStart(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for _, way := range boots {
		for seed := range uint64(seeds(2)) {
			runFleet(t, bootSite(seed), 300+seed, func(t *testing.T, w *World) {
				b := boot(t, w, way.down, way.away(w))
				last := max(at(b.open, 1), at(b.take, 1), at(b.give, 1))
				assert.Assert(t, last < w.Site.Timing.ReconcileInterval(), "seed %d: %s: everything only after %s", seed, way.name, last)
			})
		}
	}
}
