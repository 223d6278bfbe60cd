package sim

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

func shown(w *World, n string) uint64 {
	s, _, err := w.Transport(n).ShownConfiguration(w.ctx)
	if err != nil {
		return 0
	}
	return s
}

// described puts the description of the usual load and waits until it serves everywhere.
func described(t *testing.T, w *World) {
	t.Helper()
	_, err := w.Put("c1", load.Configuration(0))
	assert.NilError(t, err)
	time.Sleep(w.Site.Timing.Spread)
}

// stand runs a script on a fleet that serves, without callers.
func stand(t *testing.T, s Site, seed uint64, script func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(s, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		script(t, w)
		for _, v := range w.History.Check(time.Now(), time.Now()).Violations {
			t.Errorf("seed %d: %s: %s", seed, v.Rule, v.Message)
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
				docs[i] = Load{Topics: 1 + i, LiveTopics: 1}.Configuration(base)
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
				assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
			}
			assert.Assert(t, won >= 0, "nobody won on base %d: %v", base, errs)
			time.Sleep(w.Site.Timing.Spread)
			for _, n := range w.Names {
				d := w.Machines[n].Node().Store.Configuration()
				assert.Equal(t, d.Sequence, base+1)
				assert.Equal(t, len(d.Spaces[0].Topics), won+1, "%s applied a description that lost", n)
			}
		}
	})
}

// Operators number by themselves, in uneven steps. A loser's number may be above or below the
// winner's, or the very same.
func TestOperatorsWithNumbersOfTheirOwn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(3)) {
		stand(t, siteForSeed(seed), 310+seed, func(t *testing.T, w *World) {
			w.Watch()
			base := uint64(0)
			for range 8 {
				var wg sync.WaitGroup
				errs := make([]error, 3)
				docs := make([][]byte, 3)
				for i := range docs {
					docs[i] = load.NumberedConfiguration(base, base+1+uint64(w.Int(4)), fmt.Sprintf("{ \"of\": %d }", i))
					wg.Go(func() { _, errs[i] = w.Put(w.Names[w.Int(len(w.Names))], docs[i]) })
				}
				wg.Wait()
				won := -1
				for i, err := range errs {
					if err == nil {
						assert.Equal(t, won, -1, "two descriptions on base %d were accepted", base)
						won = i
						continue
					}
					assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
				}
				assert.Assert(t, won >= 0, "nobody won on base %d: %v", base, errs)
				want, err := configuration.Parse(docs[won])
				assert.NilError(t, err)
				for i := range docs {
					_, err := w.Put(w.Names[w.Int(len(w.Names))], docs[i])
					assert.Equal(t, err == nil, i == won, "the same again: %v", err)
					assert.Assert(t, err == nil || apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
				}
				time.Sleep(w.Site.Timing.Spread)
				bare := want
				bare.Source = ""
				for _, n := range w.Names {
					assert.DeepEqual(t, w.Machines[n].Node().Store.Configuration(), bare)
				}
				got, err := w.Machines["a1"].Node().Operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.DeepEqual(t, got, want)
				base = want.Sequence
			}
		})
	}
}

// The very same description is a yes through any node while it is current: after a lost answer, a
// full restart, and through a node that has not heard of it, and once a later one is current.
func TestTheSameConfigurationAgainIsAcknowledged(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 320, func(t *testing.T, w *World) {
		w.Watch()
		first, second := load.NumberedConfiguration(0, 7, "first"), load.NumberedConfiguration(7, 9, "second")
		for _, n := range []string{"a1", "a1", "c2", "s3"} {
			seq, err := w.Put(n, first)
			assert.NilError(t, err)
			assert.Equal(t, seq, uint64(7))
		}
		time.Sleep(w.Site.Timing.Spread)
		w.Kill("a1")
		w.LosePower("c1", false)
		seq, err := w.Put("c3", second)
		assert.NilError(t, err)
		assert.Equal(t, seq, uint64(9))
		w.Wipe("c3")
		assert.NilError(t, w.Start("a1", "c1", "c3"))
		assert.NilError(t, w.WaitReady(20*time.Second))
		seq, err = w.Put("a1", second)
		assert.NilError(t, err)
		assert.Equal(t, seq, uint64(9))
		seq, err = w.Put("c2", first)
		assert.NilError(t, err)
		assert.Equal(t, seq, uint64(7))
		for _, doc := range [][]byte{load.NumberedConfiguration(0, 7, "other"), load.NumberedConfiguration(7, 9, "other"), load.NumberedConfiguration(7, 10, "second"), load.NumberedConfiguration(0, 9, "second")} {
			_, err = w.Put("c2", doc)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%s: %v", doc, err)
		}
		got, err := w.Machines["s1"].Node().Operators.CurrentConfiguration(w.ctx)
		assert.NilError(t, err)
		assert.Equal(t, got.Source, "second")
	})
}

// Spaces by prefix come, go and come back: each topic goes where its longest prefix says,
// everywhere within the spread, and goes on where it was.
func TestSpacesByPrefixComeAndGo(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(2)) {
		stand(t, siteForSeed(seed), 330+seed, func(t *testing.T, w *World) {
			w.Watch()
			base := uint64(0)
			put := func(spaces string) error {
				to := w.Names[w.Int(len(w.Names))]
				seq, err := w.Put(to, []byte(fmt.Sprintf(`{"base":%d,"sequence":%d,"spaces":[%s]}`, base, base+1+uint64(w.Int(5)), spaces)))
				if err == nil {
					base = seq
					time.Sleep(w.Site.Timing.Spread)
				}
				return err
			}
			const whole, part, fast = `{"name":"r-1","kind":"kept","prefix":"ka.","keep_ms":30000}`, `{"name":"r-2","kind":"live","prefix":"ka.b"}`, `{"name":"r-3","kind":"kept","urgent":true,"prefix":"kb."}`
			assert.NilError(t, put(whole+","+part+","+fast))
			a := attach(t, w, "a1", "v")
			call := map[string]uint64{}
			send := func(topic string) error {
				_, err := w.Transport("a1").Send(w.ctx, a.Token, topic, call[topic]+1, []byte(fmt.Sprint(call[topic]+1)))
				if err == nil {
					call[topic]++
				}
				return err
			}
			topics := []string{"ka.a", "ka.bc", "kb.x"}
			_, cursor, _ := follow(w, "a1", a.Token, "", topics, time.Second)
			for _, n := range append(topics, topics...) {
				assert.NilError(t, send(n))
			}
			for _, n := range w.Names {
				for topic, kind := range map[string]string{"ka.a": "kept", "ka.bc": "live", "kb.x": "kept"} {
					s, err := w.Machines[n].Node().Store.Index().Find(topic)
					assert.NilError(t, err)
					assert.Equal(t, s.Kind, kind)
				}
			}
			assert.Assert(t, apierror.HasCode(send("kc.x"), apierror.UnknownSpace))
			assert.NilError(t, put(whole))
			assert.NilError(t, send("ka.bc"), "the shorter prefix holds the topics now")
			assert.Assert(t, apierror.HasCode(send("kb.x"), apierror.UnknownSpace))
			for _, spaces := range []string{
				whole + `,{"name":"r-3","kind":"kept","prefix":"kb."}`,
				whole + `,{"name":"other","kind":"kept","prefix":"kb.x"}`,
				`{"name":"r-1","kind":"kept","all":true}`,
				whole + `,{"name":"r-4","kind":"kept","urgent":true,"prefix":"ka.c"}`,
			} {
				err := put(spaces)
				assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "lines would move: %s: %v", spaces, err)
			}
			assert.NilError(t, put(part))
			assert.Assert(t, apierror.HasCode(send("ka.a"), apierror.UnknownSpace))
			assert.NilError(t, put(whole+`,{"name":"renamed","kind":"kept","urgent":true,"prefix":"kb."}`))
			for _, n := range topics {
				assert.NilError(t, send(n), n)
			}
			for n, want := range map[string][]uint64{"ka.a": {1, 2, 3}, "kb.x": {1, 2, 3}} {
				calls, _, _ := follow(w, "c1", attach(t, w, "c1", "w"+n).Token, cursor, []string{n}, 2*time.Second)
				assert.DeepEqual(t, calls, want)
			}
		})
	}
}

// With standing lanes every nested prefix is taken, whatever its urgency, and every topic goes on
// in its line: under a part that comes, goes and comes back, and under a new whole.
func TestStandingLanesTakeNestedPrefixes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(2)) {
		stand(t, siteForSeed(seed), 350+seed, func(t *testing.T, w *World) {
			w.Watch()
			base := uint64(0)
			put := func(kept int, spaces string) {
				t.Helper()
				to := w.Names[w.Int(len(w.Names))]
				doc := []byte(fmt.Sprintf(`{"base":%d,"standing_lanes":true,"spaces":[%s]}`, base, spaces))
				var err error
				base, err = w.Put(to, doc)
				assert.NilError(t, err, spaces)
				d, err := configuration.Parse(doc)
				assert.NilError(t, err)
				a, err := w.Machines["a1"].Node().Operators.Replace(w.ctx, d)
				assert.NilError(t, err, "the same again")
				assert.Equal(t, len(a.OverriddenLanes), kept, "%v", a.OverriddenLanes)
				time.Sleep(w.Site.Timing.Spread)
			}
			const k, ka, kab, all = `{"name":"k","kind":"kept","prefix":"k"}`, `{"name":"ka","kind":"kept","urgent":true,"prefix":"ka."}`, `{"name":"kab","kind":"kept","prefix":"ka.b"}`, `{"name":"","kind":"kept","urgent":true,"all":true}`
			put(0, ka)
			a := attach(t, w, "a1", "v")
			topics := []string{"ka.a", "ka.bc"}
			_, cursor, _ := follow(w, "a1", a.Token, "", topics, time.Second)
			call := uint64(0)
			send := func() {
				t.Helper()
				call++
				for _, n := range topics {
					_, err := w.Transport("a1").Send(w.ctx, a.Token, n, call, []byte(fmt.Sprint(call)))
					assert.NilError(t, err, n)
				}
			}
			send()
			for _, c := range []struct {
				kept   int
				spaces string
			}{{0, ka + "," + k}, {1, k}, {2, k + "," + kab}, {1, all}, {1, ka + "," + kab}, {0, ka}} {
				put(c.kept, c.spaces)
				send()
			}
			w.Kill("c1")
			assert.NilError(t, w.Start("c1"))
			assert.NilError(t, w.WaitReady(20*time.Second))
			send()
			for _, n := range topics {
				calls, _, _ := follow(w, "c2", attach(t, w, "c2", "w"+n).Token, cursor, []string{n}, 2*time.Second)
				assert.DeepEqual(t, calls, []uint64{1, 2, 3, 4, 5, 6, 7, 8})
			}
			d, err := w.Machines["a1"].Node().Operators.ReadConfiguration(w.ctx)
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(fmt.Sprintf("%s", d), `"lanes"`), "the table is the fleet's")
		})
	}
}

// A space may ask to be kept for longer than the fleet keeps.
func TestKeepingAsLongAsASpaceAsks(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 360, func(t *testing.T, w *World) {
		most := w.Site.Timing.MaxRetention().Milliseconds()
		_, err := w.Put("c1", []byte(fmt.Sprintf(`{"base":0,"spaces":[{"name":"k","kind":"kept","prefix":"k","keep_ms":%d}]}`, most+1)))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
		asked := 2 * w.Site.Timing.Keeping
		_, err = w.Put("c1", []byte(fmt.Sprintf(`{"base":0,"spaces":[{"name":"k","kind":"kept","prefix":"k","keep_ms":%d},{"name":"l","kind":"kept","prefix":"l"}]}`, asked.Milliseconds())))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		tok := attach(t, w, "a1", "v").Token
		_, cursor, _ := follow(w, "a1", tok, "", []string{"k1"}, time.Second)
		_, err = w.Transport("a1").Send(w.ctx, tok, "k1", 1, []byte("1"))
		assert.NilError(t, err)
		time.Sleep(asked)
		calls, _, _ := follow(w, "c1", attach(t, w, "c1", "w").Token, cursor, []string{"k1"}, 2*time.Second)
		assert.DeepEqual(t, calls, []uint64{1})
		time.Sleep(w.Site.Timing.RetentionFor(asked) - asked + 10*time.Second)
		_, err = w.Transport("a1").Send(w.ctx, tok, "k1", 2, []byte("2"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		_, _, err = follow(w, "c2", attach(t, w, "c2", "x").Token, cursor, []string{"k1"}, 2*time.Second)
		assert.Assert(t, apierror.HasCode(err, apierror.CursorExpired), "let go in the end: %v", err)
	})
}

// A description at its limits is taken, stands everywhere within the spread, and reads back to the
// byte.
func TestLargeConfigurations(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ spaces, source int }{{514, 100 << 10}, {configuration.MaxSpaces, configuration.MaxBytes}} {
		t.Run(fmt.Sprint(c.spaces), func(t *testing.T) {
			if c.spaces > 1000 {
				long(t)
			}
			stand(t, Armor, 340, func(t *testing.T, w *World) {
				w.Watch()
				d := configuration.Config{Sequence: 5, Source: strings.Repeat("\"é\" ", c.source/5)}
				for i := range c.spaces {
					d.Spaces = append(d.Spaces, configuration.Space{Name: fmt.Sprintf("r-%d", i), Kind: "kept", Prefix: fmt.Sprintf("k%d.", i), DeadlineMS: 1500, TargetLatencyMS: 120, RetentionMS: 35000})
				}
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
				defer stop()
				_, err := w.Machines["a1"].Node().Operators.Replace(ctx, d)
				assert.NilError(t, err)
				time.Sleep(w.Site.Timing.Spread)
				for _, n := range w.Names {
					assert.Equal(t, shown(w, n), uint64(5))
				}
				w.LosePower("c1", false)
				assert.NilError(t, w.Start("c1"))
				assert.NilError(t, w.WaitReady(20*time.Second))
				got, err := w.Machines["c2"].Node().Operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.Assert(t, got.Equal(d))
			})
		})
	}
}

func TestInvalidConfigurationIsNeverApplied(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 4, func(t *testing.T, w *World) {
		_, err := w.Put("c1", load.Configuration(0))
		assert.NilError(t, err)
		bad := map[string]apierror.Code{
			`{"base":1,"spaces":[{"name":"kept","kind":"kept","topics":["t0","t0"]},{"name":"X","kind":"gone","topics":[]}]}`: apierror.ConfigurationInvalid,
			`{"base":1,"base":1,"spaces":[],"more":true}`:                                          apierror.ConfigurationInvalid,
			`{"base":1,"spaces":[{"name":"stop","kind":"kept","urgent":false,"topics":["line"]}]}`: apierror.ConfigurationInvalid,
			`{"base":1,"spaces":[]} {}`:                                                            apierror.ConfigurationInvalid,
			`{"base":1,"spaces":`:                                                                  apierror.Malformed,
			`{"base":7,"spaces":[]}`:                                                               apierror.ConfigurationConflict,
			`{"base":1,"sequence":1,"spaces":[]}`:                                                  apierror.ConfigurationInvalid,
			`{"base":1,"sequence":9,"spaces":[{"name":"a","kind":"kept","prefix":"k"},{"name":"b","kind":"kept","prefix":"k"}]}`: apierror.ConfigurationInvalid,
			`{"base":1,"sequence":9,"spaces":[{"name":"a","kind":"kept","prefix":"k"},{"name":"a","kind":"kept","prefix":"l"}]}`: apierror.ConfigurationInvalid,
			`{"base":1,"sequence":9,"spaces":[{"name":"a","kind":"kept","prefix":"k","deadline_ms":0}]}`:                         apierror.ConfigurationInvalid,
			`{"base":1,"sequence":9,"spaces":[{"name":"a","kind":"kept","prefix":"k","keep_ms":86400000}]}`:                      apierror.ConfigurationInvalid,
			`{"base":0,"sequence":1,"spaces":[{"name":"a","kind":"kept","prefix":"k","deadline_ms":0}]}`:                         apierror.ConfigurationInvalid,
		}
		for doc, k := range bad {
			for _, n := range []string{"a1", "c2"} {
				_, err := w.Put(n, []byte(doc))
				assert.Assert(t, apierror.HasCode(err, k), "%s: %v", doc, err)
			}
		}
		for _, d := range []configuration.Config{
			{Base: 1, Sequence: 1}, {Base: 1, Spaces: []configuration.Space{{Name: "a", Kind: "kept"}}}, {Base: 1, Spaces: []configuration.Space{{Name: "a", Kind: "kept", Prefix: "k", RetentionMS: 1 << 30}}},
		} {
			_, err := w.Machines["c2"].Node().Operators.Replace(w.ctx, d)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v: %v", d, err)
		}
		time.Sleep(w.Site.Timing.Spread)
		for _, n := range w.Names {
			assert.Equal(t, shown(w, n), uint64(1))
		}
	})
}

func TestCutNodeStopsServingBeforeANewConfigurationIsDue(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 5, func(t *testing.T, w *World) {
		w.Watch()
		described(t, w)
		for base := uint64(1); base < 4; base++ {
			w.Isolate("a1")
			w.Isolate("s1")
			_, err := w.Put("c2", load.Configuration(base))
			assert.NilError(t, err)
			time.Sleep(w.Site.Timing.Spread + time.Millisecond)
			for _, n := range []string{"a1", "s1"} {
				_, ready, _ := w.Transport(n).ShownConfiguration(w.ctx)
				assert.Assert(t, !ready, "%s serves, cut off, %s after description %d", n, w.Site.Timing.Spread, base+1)
			}
			w.Heal()
			assert.NilError(t, w.WaitReady(10*time.Second))
			assert.Equal(t, shown(w, "a1"), base+1)
		}
	})
}

func TestConfigurationSurvivesAnySingleLossAndReadsBack(t *testing.T) {
	t.Parallel()
	for _, s := range []Site{Armor, Traductores} {
		t.Run(fmt.Sprint(s.Control), func(t *testing.T) {
			stand(t, s, 6, func(t *testing.T, w *World) {
				w.Watch()
				seq := uint64(0)
				for i := range s.Control {
					c := fmt.Sprintf("c%d", i+1)
					var err error
					seq, err = w.Put(c, load.Configuration(seq))
					assert.NilError(t, err)
					w.Wipe(c)
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
					got, err := w.Transport("a1").Get(ctx)
					stop()
					assert.NilError(t, err)
					assert.Equal(t, got, seq)
					assert.NilError(t, w.Start(c))
					assert.NilError(t, w.WaitUntil(30*time.Second, "the wiped disk has a seat", func() bool {
						n := w.Machines[c].Node()
						x, ok := w.Machines["a1"].Node().VoterSet().Voter(c)
						return ok && x.Incarnation == n.Info().Incarnation && n.Info().VoterSet == w.Machines["a1"].Node().VoterSet().Sequence
					}))
					time.Sleep(2 * time.Second)
				}
				w.LosePower("c1", true)
				got, err := w.Transport("c2").Get(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, got, seq)
			})
		})
	}
}

func TestOutcomeOfALostConfigurationResponseCanBeReadBack(t *testing.T) {
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
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
				defer stop()
				put, err = w.Transport("a1").Put(ctx, load.Configuration(seq))
			})
			time.Sleep(time.Duration(w.Int(4)) * 500 * time.Microsecond)
			w.Kill(c)
			wg.Wait()
			time.Sleep(4 * time.Second)
			got, e := w.Transport("a1").Get(w.ctx)
			if apierror.HasCode(e, apierror.ConfigurationMissing) {
				got, e = 0, nil
			}
			assert.NilError(t, e)
			if err == nil {
				assert.Equal(t, got, put)
				w.History.AcceptConfiguration(seq, put, string(load.Configuration(seq)), time.Now())
			} else {
				assert.Assert(t, got == seq || got == seq+1, "read back %d after %d and %v", got, seq, err)
				if !apierror.HasCode(err, apierror.OutcomeUnknown) {
					assert.Equal(t, got, seq, "told %v, though it was accepted", err)
				}
			}
			again := []string{"a1", "s2", fmt.Sprintf("c%d", (i+1)%3+1)}[w.Int(3)]
			put, err = w.Put(again, load.Configuration(seq))
			assert.NilError(t, err, "the same again through %s, when %d was current", again, got)
			assert.Equal(t, put, seq+1)
			seq = put
			assert.NilError(t, w.Start(c))
			time.Sleep(3 * time.Second)
		}
	})
}
