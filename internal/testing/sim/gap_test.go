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

var wideLoad = Load{HTTPClients: 4, Topics: 40, LiveTopics: 2, UrgentSenders: 1, SendInterval: 500 * time.Millisecond}

// gapSenders sends messages into each partition, one after the other, and records for each the
// longest time between two accepted messages. mu guards last and gap.
type gapSenders struct {
	mu   sync.Mutex
	last map[int]time.Time
	gap  map[int]time.Duration
	wg   sync.WaitGroup
	stop context.CancelFunc
}

func (w *World) startGapSenders(through string) *gapSenders {
	ctx, stop := context.WithCancel(w.ctx)
	senders := &gapSenders{last: map[int]time.Time{}, gap: map[int]time.Duration{}, stop: stop}
	running := w.Machines[through].Node()
	topics := map[int]string{}
	layout := running.VoterSet().Layout
	for i := range wideLoad.Topics {
		topic := fmt.Sprintf("kept/t%d", i)
		topics[partition.Of(topic, false, layout)] = topic
	}
	topics[partition.Of("stop/line", true, layout)] = "stop/line"
	for partitionID := range topics {
		senders.last[partitionID] = time.Now()
	}
	for partitionID, topic := range topics {
		senders.wg.Go(func() { senders.send(ctx, running, partitionID, topic) })
	}
	return senders
}

func (g *gapSenders) send(ctx context.Context, running *node.Node, partitionID int, topic string) {
	for callSeq := uint64(1); ctx.Err() == nil; {
		callCtx, stop := context.WithTimeout(ctx, time.Second)
		_, err := running.Clients.Router.Submit(callCtx, partitionID, &leader.Message{Client: "taker", Topic: topic, CallSeq: callSeq, Body: []byte(`1`)})
		stop()
		if err == nil {
			callSeq++
			g.recordAccepted(partitionID)
		}
		_ = sleep(ctx, 10*time.Millisecond)
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g *gapSenders) recordAccepted(partitionID int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gap[partitionID] = max(g.gap[partitionID], now.Sub(g.last[partitionID]))
	g.last[partitionID] = now
}

// stopAndFindLongest stops the senders and returns the longest time in which some partition
// accepted nothing.
func (g *gapSenders) stopAndFindLongest() time.Duration {
	g.mu.Lock()
	partitionIDs := slices.Collect(maps.Keys(g.last))
	g.mu.Unlock()
	for _, partitionID := range partitionIDs {
		g.recordAccepted(partitionID)
	}
	g.stop()
	g.wg.Wait()
	longest := time.Duration(0)
	for _, gap := range g.gap {
		longest = max(longest, gap)
	}
	return longest
}

func controllerNode(w *World) string {
	for _, name := range w.Names {
		if running := w.Machines[name].Node(); running != nil && running.IsPlacementController() {
			return name
		}
	}
	return "c1"
}

// thirteenNodes is the smaller deployment at its actual size.
var thirteenNodes = func() Site {
	site := Armor
	site.Access, site.Routine, site.Urgent = 7, 12, 4
	return site
}()

var machineLosses = []struct {
	name   string
	maxGap time.Duration
	inject func(w *World)
}{
	{"storage node killed", time.Second, func(w *World) { w.Kill(busiest(w)) }},
	{"storage node without power", 2 * time.Second, func(w *World) { w.LosePower(busiest(w), false) }},
	{"storage node frozen", 2 * time.Second, func(w *World) { w.Freeze(busiest(w)) }},
	{"storage node isolated", 2 * time.Second, func(w *World) { w.Isolate(busiest(w)) }},
	{"storage node killed, restarted after 50 ms", time.Second, restartAfter(50 * time.Millisecond)},
	{"storage node killed, restarted after 300 ms", time.Second, restartAfter(300 * time.Millisecond)},
	{"storage node killed, restarted after 800 ms", time.Second, restartAfter(800 * time.Millisecond)},
	{"storage node asked to stop", 200 * time.Millisecond, func(w *World) { w.Terminate(busiest(w)) }},
	{"placement controller killed", 200 * time.Millisecond, func(w *World) { w.Kill(controllerNode(w)) }},
	{"placement controller and storage node killed", time.Second, func(w *World) {
		controllerName := controllerNode(w)
		w.Kill(busiest(w))
		w.Kill(controllerName)
	}},
	{"placement controller and storage node without power", 2 * time.Second, func(w *World) {
		controllerName := controllerNode(w)
		w.LosePower(busiest(w), false)
		w.LosePower(controllerName, false)
	}},
	{"all control nodes killed, restarted after 500 ms", time.Second, func(w *World) { w.restartNodes(500*time.Millisecond, "c") }},
	{"all nodes with a disk killed, restarted after 500 ms", 2 * time.Second, func(w *World) { w.restartNodes(500*time.Millisecond, "cs") }},
}

func (w *World) restartNodes(downtime time.Duration, kinds string) {
	var names []string
	for _, name := range w.Names {
		for _, kind := range kinds {
			if name[0] == byte(kind) {
				names = append(names, name)
				w.Kill(name)
			}
		}
	}
	time.Sleep(downtime)
	_ = w.Start(names...)
}

func restartAfter(downtime time.Duration) func(*World) {
	return func(w *World) {
		leaderNode := busiest(w)
		w.Kill(leaderNode)
		time.Sleep(downtime)
		_ = w.Start(leaderNode)
	}
}

// startWideFleet starts a fleet whose partitions all have leaders, with a configuration for
// gapSenders.
func startWideFleet(t *testing.T, site Site, seed uint64) *World {
	w := New(site, seed, Logger())
	assert.NilError(t, w.Start(w.Names...))
	assert.NilError(t, w.WaitReady(20*time.Second))
	assert.NilError(t, w.WaitUntil(20*time.Second, "the configuration is accepted", func() bool {
		_, err := w.Put("a1", wideLoad.Configuration(0))
		return err == nil
	}))
	time.Sleep(6 * time.Second)
	return w
}

func longestGap(t *testing.T, site Site, seed uint64, inject func(*World)) (longest time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		w := startWideFleet(t, site, seed)
		defer w.Close()
		senders := w.startGapSenders("a1")
		time.Sleep(time.Second + time.Duration(w.Int(1000))*time.Millisecond)
		inject(w)
		time.Sleep(8 * time.Second)
		longest = senders.stopAndFindLongest()
	})
	return longest
}

// TestMeasureService measures how long some partition accepts nothing, for each way in which
// machines fail.
func TestMeasureService(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, loss := range machineLosses {
		var durations []time.Duration
		var mu sync.Mutex
		t.Run(loss.name, func(t *testing.T) {
			for seed := range uint64(12) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					t.Parallel()
					gap := longestGap(t, thirteenNodes, seed, loss.inject)
					mu.Lock()
					defer mu.Unlock()
					durations = append(durations, gap.Round(time.Millisecond))
				})
			}
		})
		if len(durations) == 0 {
			continue
		}
		slices.Sort(durations)
		t.Logf("%-52s p50 %s, max %s", loss.name, durations[len(durations)/2], durations[len(durations)-1])
	}
}
