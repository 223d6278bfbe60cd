package sim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/problem"
)

func shown(w *World, n string) uint64 {
	s, _, err := w.Port(n).Shows(w.ctx)
	if err != nil {
		return 0
	}
	return s
}

// described puts the description of the usual load and waits until it serves everywhere.
func described(t *testing.T, w *World) {
	t.Helper()
	_, err := w.Put("c1", load.Describe(0))
	assert.NilError(t, err)
	time.Sleep(w.Site.Bounds.Spread)
}

// stand runs a script on a fleet that serves, without callers.
func stand(t *testing.T, s Site, seed uint64, script func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.Settle(20*time.Second))
		script(t, w)
		for _, v := range w.History.Check(time.Now(), time.Now()).Violations {
			t.Errorf("seed %d: %s: %s", seed, v.Line, v.Say)
		}
	})
}

func TestTwoOperatorsOnOneBase(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 3, func(t *testing.T, w *World) {
		w.Watch()
		for base := range uint64(8) {
			var wg sync.WaitGroup
			errs := make([]error, 3)
			docs := make([][]byte, 3)
			for i, n := range []string{"a1", "c2", "s3"} {
				docs[i] = Load{Topics: 1 + i, LiveTopics: 1}.Describe(base)
				wg.Go(func() { _, errs[i] = w.Put(n, docs[i]) })
			}
			wg.Wait()
			won := -1
			for i, err := range errs {
				if err == nil {
					assert.Equal(t, won, -1, "two descriptions on base %d were accepted", base)
					won = i
					continue
				}
				assert.Assert(t, problem.Has(err, problem.DescriptionRaced), "%v", err)
			}
			assert.Assert(t, won >= 0, "nobody won on base %d: %v", base, errs)
			time.Sleep(w.Site.Bounds.Spread)
			for _, n := range w.Names {
				d := w.Machines[n].Node().Board.Description()
				assert.Equal(t, d.Sequence, base+1)
				assert.Equal(t, len(d.Spaces[0].Topics), won+1, "%s applied a description that lost", n)
			}
		}
	})
}

func TestInvalidDescriptionIsNeverApplied(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 4, func(t *testing.T, w *World) {
		_, err := w.Put("c1", load.Describe(0))
		assert.NilError(t, err)
		bad := map[string]problem.Kind{
			`{"base":1,"spaces":[{"name":"kept","kind":"kept","topics":["t0","t0"]},{"name":"X","kind":"gone","topics":[]}]}`: problem.DescriptionBad,
			`{"base":1,"base":1,"spaces":[],"more":true}`:                                          problem.DescriptionBad,
			`{"base":1,"spaces":[{"name":"stop","kind":"kept","urgent":false,"topics":["line"]}]}`: problem.DescriptionBad,
			`{"base":1,"spaces":[]} {}`:                                                            problem.DescriptionBad,
			`{"base":1,"spaces":`:                                                                  problem.Malformed,
			`{"base":7,"spaces":[]}`:                                                               problem.DescriptionRaced,
		}
		for doc, k := range bad {
			_, err := w.Put("a1", []byte(doc))
			assert.Assert(t, problem.Has(err, k), "%s: %v", doc, err)
		}
		time.Sleep(w.Site.Bounds.Spread)
		for _, n := range w.Names {
			assert.Equal(t, shown(w, n), uint64(1))
		}
	})
}

func TestCutNodeStopsServingBeforeANewDescriptionIsDue(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 5, func(t *testing.T, w *World) {
		w.Watch()
		described(t, w)
		for base := uint64(1); base < 4; base++ {
			w.Isolate("a1")
			w.Isolate("s1")
			_, err := w.Put("c2", load.Describe(base))
			assert.NilError(t, err)
			time.Sleep(w.Site.Bounds.Spread + time.Millisecond)
			for _, n := range []string{"a1", "s1"} {
				_, ready, _ := w.Port(n).Shows(w.ctx)
				assert.Assert(t, !ready, "%s serves, cut off, %s after description %d", n, w.Site.Bounds.Spread, base+1)
			}
			w.Heal()
			assert.NilError(t, w.Settle(10*time.Second))
			assert.Equal(t, shown(w, "a1"), base+1)
		}
	})
}

func TestDescriptionSurvivesAnySingleLossAndReadsBack(t *testing.T) {
	t.Parallel()
	for _, s := range []Site{Armor, Traductores} {
		t.Run(fmt.Sprint(s.Control), func(t *testing.T) {
			stand(t, s, 6, func(t *testing.T, w *World) {
				w.Watch()
				seq := uint64(0)
				for i := range s.Control {
					c := fmt.Sprintf("c%d", i+1)
					var err error
					seq, err = w.Put(c, load.Describe(seq))
					assert.NilError(t, err)
					w.Wipe(c)
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Bounds.Recovery)
					got, err := w.Port("a1").Get(ctx)
					stop()
					assert.NilError(t, err)
					assert.Equal(t, got, seq)
					assert.NilError(t, w.Start(c))
					assert.NilError(t, w.Until(30*time.Second, "the wiped disk has a seat", func() bool {
						n := w.Machines[c].Node()
						x, ok := w.Machines["a1"].Node().Roster().Seat(c)
						return ok && x.Incarnation == n.Info().Incarnation && n.Info().Roster == w.Machines["a1"].Node().Roster().Sequence
					}))
					time.Sleep(2 * time.Second)
				}
				w.LosePower("c1", true)
				got, err := w.Port("c2").Get(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, got, seq)
			})
		})
	}
}

func TestOutcomeOfALostDescriptionAnswerCanBeReadBack(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 8, func(t *testing.T, w *World) {
		w.Watch()
		seq := uint64(0)
		for i := range 6 {
			c := fmt.Sprintf("c%d", i%3+1)
			var wg sync.WaitGroup
			var put uint64
			var err error
			wg.Go(func() {
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Bounds.Recovery)
				defer stop()
				put, err = w.Port("a1").Put(ctx, load.Describe(seq))
			})
			time.Sleep(time.Duration(w.Int(4)) * 500 * time.Microsecond)
			w.Kill(c)
			wg.Wait()
			time.Sleep(4 * time.Second)
			got, e := w.Port("a1").Get(w.ctx)
			if problem.Has(e, problem.DescriptionNone) {
				got, e = 0, nil
			}
			assert.NilError(t, e)
			if err == nil {
				assert.Equal(t, got, put)
				w.History.Accept(put, time.Now())
			} else {
				assert.Assert(t, got == seq || got == seq+1, "read back %d after %d and %v", got, seq, err)
				if !problem.Has(err, problem.OutcomeUnknown) {
					assert.Equal(t, got, seq, "told %v, though it was accepted", err)
				}
			}
			seq = got
			assert.NilError(t, w.Start(c))
			time.Sleep(3 * time.Second)
		}
	})
}
