package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partition"
)

// leadershipMoves returns how often the leaderships of all partitions moved so far.
func (w *World) leadershipMoves() int {
	moves := 0
	for _, record := range w.records() {
		moves += int(record.Epoch) - 1
	}
	return moves
}

// acceptedByNode returns the messages that the partition leaders on each storage node accepted
// since each became leader.
func (w *World) acceptedByNode() map[string]uint64 {
	accepted := map[string]uint64{}
	for _, node := range w.Names {
		if node[0] != 's' {
			continue
		}
		accepted[node] = 0
		for _, view := range w.Machines[node].Node().Operators.Leaders() {
			accepted[node] += view.Counters.Accepted
		}
	}
	return accepted
}

// loadImbalance returns the load of the busiest storage node over the mean of all three. It
// measures again if leaderships moved meanwhile.
func loadImbalance(duration time.Duration, w *World) float64 {
	before, epochs := w.acceptedByNode(), w.leadershipMoves()
	time.Sleep(duration)
	highest, total := 0.0, 0.0
	for node, count := range w.acceptedByNode() {
		share := float64(count - min(count, before[node]))
		highest, total = max(highest, share), total+share
	}
	if w.leadershipMoves() != epochs {
		return loadImbalance(duration, w)
	}
	return highest * 3 / total
}

// All load is on the partitions of one storage node. A few leadership moves spread it, and then no
// leadership moves any more.
func TestSkewedLoadIsSpreadWithoutFlapping(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	site := Armor
	site.Routine, site.Urgent = 12, 4
	for seed := range uint64(seeds(1)) {
		runFleet(t, site, 340+seed, func(t *testing.T, w *World) {
			traffic := Load{Topics: 60, LiveTopics: 1}
			_, err := w.Put("c1", traffic.Configuration(0))
			assert.NilError(t, err)
			time.Sleep(w.Site.Timing.Spread)
			busiestNode := busiest(w)
			layout := w.Machines["a1"].Node().VoterSet().Layout
			var topics []string
			for i := range traffic.Topics {
				topic := fmt.Sprintf("kept/t%d", i)
				if w.records()[partition.Of(topic, false, layout)].Leader == busiestNode {
					topics = append(topics, topic)
				}
			}
			assert.Assert(t, len(topics) >= 6, "void: %d topics on %s", len(topics), busiestNode)
			ctx, stop := context.WithCancel(w.ctx)
			for i, topic := range topics {
				token := attach(t, w, "c2", fmt.Sprintf("v%d", i)).Token
				w.wg.Go(func() {
					for callSeq := uint64(1); ctx.Err() == nil; {
						if _, err := w.Transport("a1").Send(ctx, token, topic, callSeq, []byte(`"a message of some length"`)); err == nil {
							callSeq++
						}
						time.Sleep(400 * time.Millisecond)
					}
				})
			}
			initialImbalance, movesBefore := loadImbalance(10*time.Second, w), w.leadershipMoves()
			time.Sleep(60 * time.Second)
			finalImbalance, moves := loadImbalance(20*time.Second, w), w.leadershipMoves()-movesBefore
			time.Sleep(30 * time.Second)
			laterMoves := w.leadershipMoves() - movesBefore - moves
			t.Logf("highest load over the mean: %.2f at first, %.2f later; %d moves, then %d in 30 s", initialImbalance, finalImbalance, moves, laterMoves)
			assert.Assert(t, finalImbalance < 1.6, "the highest load is %.2f of the mean", finalImbalance)
			assert.Assert(t, moves <= 6 && laterMoves == 0, "%d moves, then %d", moves, laterMoves)
			stop()
		})
	}
}
