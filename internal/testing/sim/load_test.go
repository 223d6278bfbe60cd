package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partition"
)

func (w *World) moves() int {
	n := 0
	for _, r := range w.records() {
		n += int(r.Epoch) - 1
	}
	return n
}

// taken gives the messages taken by the owners on each store since each took over.
func (w *World) taken() map[string]uint64 {
	m := map[string]uint64{}
	for _, n := range w.Names {
		if n[0] != 's' {
			continue
		}
		m[n] = 0
		for _, v := range w.Machines[n].Node().Operators.Leaders() {
			m[n] += v.Counters.Accepted
		}
	}
	return m
}

func apart(d time.Duration, w *World) float64 {
	before, epochs := w.taken(), w.moves()
	time.Sleep(d)
	most, all := 0.0, 0.0
	for n, k := range w.taken() {
		x := float64(k - min(k, before[n]))
		most, all = max(most, x), all+x
	}
	if w.moves() != epochs {
		return apart(d, w)
	}
	return most * 3 / all
}

// All the load falls on the partitions of one store. It is spread by a few moves, and then nothing
// moves any more.
func TestSkewedLoadIsSpreadWithoutFlapping(t *testing.T) {
	t.Parallel()
	long(t)
	s := Armor
	s.Routine, s.Urgent = 12, 4
	for seed := range uint64(seeds(1)) {
		stand(t, s, 340+seed, func(t *testing.T, w *World) {
			l := Load{Topics: 60, LiveTopics: 1}
			_, err := w.Put("c1", l.Configuration(0))
			assert.NilError(t, err)
			time.Sleep(w.Site.Timing.Spread)
			hot := busiest(w)
			layout := w.Machines["a1"].Node().VoterSet().Layout
			var topics []string
			for i := range l.Topics {
				n := fmt.Sprintf("kept/t%d", i)
				if w.records()[partition.Of(n, false, layout)].Leader == hot {
					topics = append(topics, n)
				}
			}
			assert.Assert(t, len(topics) >= 6, "void: %d topics on %s", len(topics), hot)
			ctx, stop := context.WithCancel(w.ctx)
			for i, n := range topics {
				tok := attach(t, w, "c2", fmt.Sprintf("v%d", i)).Token
				w.wg.Go(func() {
					for c := uint64(1); ctx.Err() == nil; {
						if _, err := w.Transport("a1").Send(ctx, tok, n, c, []byte(`"a message of some length"`)); err == nil {
							c++
						}
						time.Sleep(400 * time.Millisecond)
					}
				})
			}
			first, begun := apart(10*time.Second, w), w.moves()
			time.Sleep(60 * time.Second)
			last, moved := apart(20*time.Second, w), w.moves()-begun
			time.Sleep(30 * time.Second)
			later := w.moves() - begun - moved
			t.Logf("highest load over the mean: %.2f at first, %.2f later; %d moves, then %d in 30 s", first, last, moved, later)
			assert.Assert(t, last < 1.6, "the highest load is %.2f of the mean", last)
			assert.Assert(t, moved <= 6 && later == 0, "%d moves, then %d", moved, later)
			stop()
		})
	}
}
