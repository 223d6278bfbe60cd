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

func servedSequence(w *World, node string) uint64 {
	sequence, _, err := w.Transport(node).ShownConfiguration(w.ctx)
	if err != nil {
		return 0
	}
	return sequence
}

// applyConfiguration puts the configuration of the default load and waits until every node serves
// it.
func applyConfiguration(t *testing.T, w *World) {
	t.Helper()
	_, err := w.Put("c1", load.Configuration(0))
	assert.NilError(t, err)
	time.Sleep(w.Site.Timing.Spread)
}

// runFleet runs a script on a ready fleet without simulated clients.
func runFleet(t *testing.T, site Site, seed uint64, script func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := New(site, seed, Logger())
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		assert.NilError(t, w.WaitReady(20*time.Second))
		script(t, w)
		for _, violation := range w.History.Check(time.Now(), time.Now()).Violations {
			t.Errorf("seed %d: %s: %s", seed, violation.Rule, violation.Message)
		}
	})
}

func TestTwoOperatorsOnOneBase(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 3, func(t *testing.T, w *World) {
		w.Watch()
		for base := range uint64(8) {
			var wg sync.WaitGroup
			errs := make([]error, 3)
			docs := make([][]byte, 3)
			for i, node := range []string{"a1", "c2", "s3"} {
				docs[i] = Load{Topics: 1 + i, LiveTopics: 1}.Configuration(base)
				wg.Go(func() { _, errs[i] = w.Put(node, docs[i]) })
			}
			wg.Wait()
			winner := -1
			for i, err := range errs {
				if err == nil {
					assert.Equal(t, winner, -1, "two configurations on base %d were accepted", base)
					winner = i
					continue
				}
				assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
			}
			assert.Assert(t, winner >= 0, "no configuration was accepted on base %d: %v", base, errs)
			time.Sleep(w.Site.Timing.Spread)
			for _, node := range w.Names {
				config := w.Machines[node].Node().Store.Configuration()
				assert.Equal(t, config.Sequence, base+1)
				assert.Equal(t, len(config.Spaces[0].Topics), winner+1, "%s applied a rejected configuration", node)
			}
		}
	})
}

// Operators choose sequence numbers themselves, in uneven steps. The number of a rejected
// configuration may be above, below or equal to that of the accepted one.
func TestOperatorsWithNumbersOfTheirOwn(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(3)) {
		runFleet(t, siteForSeed(seed), 310+seed, func(t *testing.T, w *World) {
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
				winner := -1
				for i, err := range errs {
					if err == nil {
						assert.Equal(t, winner, -1, "two configurations on base %d were accepted", base)
						winner = i
						continue
					}
					assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
				}
				assert.Assert(t, winner >= 0, "no configuration was accepted on base %d: %v", base, errs)
				want, err := configuration.Parse(docs[winner])
				assert.NilError(t, err)
				for i := range docs {
					_, err := w.Put(w.Names[w.Int(len(w.Names))], docs[i])
					assert.Equal(t, err == nil, i == winner, "the same configuration again: %v", err)
					assert.Assert(t, err == nil || apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
				}
				time.Sleep(w.Site.Timing.Spread)
				withoutSource := want
				withoutSource.Source = ""
				for _, node := range w.Names {
					assert.DeepEqual(t, w.Machines[node].Node().Store.Configuration(), withoutSource)
				}
				got, err := w.Machines["a1"].Node().Operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.DeepEqual(t, got, want)
				base = want.Sequence
			}
		})
	}
}

// The current configuration is acknowledged again through any node: after a lost response, after a
// full restart, and through a node that has not received it. It is also acknowledged once a later
// one is current.
func TestTheSameConfigurationAgainIsAcknowledged(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 320, func(t *testing.T, w *World) {
		w.Watch()
		first, second := load.NumberedConfiguration(0, 7, "first"), load.NumberedConfiguration(7, 9, "second")
		for _, node := range []string{"a1", "a1", "c2", "s3"} {
			seq, err := w.Put(node, first)
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

// Spaces by prefix are added, removed and added again. Each topic belongs to the space with its
// longest prefix, on every node within the spread, and its log continues from the same offset.
func TestSpacesByPrefixComeAndGo(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteForSeed(seed), 330+seed, func(t *testing.T, w *World) {
			w.Watch()
			base := uint64(0)
			putSpaces := func(spaces string) error {
				node := w.Names[w.Int(len(w.Names))]
				seq, err := w.Put(node, []byte(fmt.Sprintf(`{"base":%d,"sequence":%d,"spaces":[%s]}`, base, base+1+uint64(w.Int(5)), spaces)))
				if err == nil {
					base = seq
					time.Sleep(w.Site.Timing.Spread)
				}
				return err
			}
			const outer, nested, urgent = `{"name":"r-1","kind":"kept","prefix":"ka.","keep_ms":30000}`, `{"name":"r-2","kind":"live","prefix":"ka.b"}`, `{"name":"r-3","kind":"kept","urgent":true,"prefix":"kb."}`
			assert.NilError(t, putSpaces(outer+","+nested+","+urgent))
			attachment := attach(t, w, "a1", "v")
			call := map[string]uint64{}
			send := func(topic string) error {
				_, err := w.Transport("a1").Send(w.ctx, attachment.Token, topic, call[topic]+1, []byte(fmt.Sprint(call[topic]+1)))
				if err == nil {
					call[topic]++
				}
				return err
			}
			topics := []string{"ka.a", "ka.bc", "kb.x"}
			_, cursor, _ := follow(w, "a1", attachment.Token, "", topics, time.Second)
			for _, topic := range append(topics, topics...) {
				assert.NilError(t, send(topic))
			}
			for _, node := range w.Names {
				for topic, kind := range map[string]string{"ka.a": "kept", "ka.bc": "live", "kb.x": "kept"} {
					space, err := w.Machines[node].Node().Store.Index().Find(topic)
					assert.NilError(t, err)
					assert.Equal(t, space.Kind, kind)
				}
			}
			assert.Assert(t, apierror.HasCode(send("kc.x"), apierror.UnknownSpace))
			assert.NilError(t, putSpaces(outer))
			assert.NilError(t, send("ka.bc"), "the shorter prefix matches the topics now")
			assert.Assert(t, apierror.HasCode(send("kb.x"), apierror.UnknownSpace))
			for _, spaces := range []string{
				outer + `,{"name":"r-3","kind":"kept","prefix":"kb."}`,
				outer + `,{"name":"other","kind":"kept","prefix":"kb.x"}`,
				`{"name":"r-1","kind":"kept","all":true}`,
				outer + `,{"name":"r-4","kind":"kept","urgent":true,"prefix":"ka.c"}`,
			} {
				err := putSpaces(spaces)
				assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "topics would move to other partitions: %s: %v", spaces, err)
			}
			assert.NilError(t, putSpaces(nested))
			assert.Assert(t, apierror.HasCode(send("ka.a"), apierror.UnknownSpace))
			assert.NilError(t, putSpaces(outer+`,{"name":"renamed","kind":"kept","urgent":true,"prefix":"kb."}`))
			for _, topic := range topics {
				assert.NilError(t, send(topic), topic)
			}
			for topic, want := range map[string][]uint64{"ka.a": {1, 2, 3}, "kb.x": {1, 2, 3}} {
				calls, _, _ := follow(w, "c1", attach(t, w, "c1", "w"+topic).Token, cursor, []string{topic}, 2*time.Second)
				assert.DeepEqual(t, calls, want)
			}
		})
	}
}

// With standing lanes every nested prefix is accepted, whatever its urgency. Every topic continues
// in its log: while a nested prefix is added, removed and added again, and under a new outer
// prefix.
func TestStandingLanesAcceptNestedPrefixes(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteForSeed(seed), 350+seed, func(t *testing.T, w *World) {
			w.Watch()
			base := uint64(0)
			putSpaces := func(retainedLanes int, spaces string) {
				t.Helper()
				node := w.Names[w.Int(len(w.Names))]
				doc := []byte(fmt.Sprintf(`{"base":%d,"standing_lanes":true,"spaces":[%s]}`, base, spaces))
				var err error
				base, err = w.Put(node, doc)
				assert.NilError(t, err, spaces)
				config, err := configuration.Parse(doc)
				assert.NilError(t, err)
				acceptance, err := w.Machines["a1"].Node().Operators.Replace(w.ctx, config)
				assert.NilError(t, err, "the same configuration again")
				assert.Equal(t, len(acceptance.OverriddenLanes), retainedLanes, "%v", acceptance.OverriddenLanes)
				time.Sleep(w.Site.Timing.Spread)
			}
			const outer, middle, inner, all = `{"name":"k","kind":"kept","prefix":"k"}`, `{"name":"ka","kind":"kept","urgent":true,"prefix":"ka."}`, `{"name":"kab","kind":"kept","prefix":"ka.b"}`, `{"name":"","kind":"kept","urgent":true,"all":true}`
			putSpaces(0, middle)
			attachment := attach(t, w, "a1", "v")
			topics := []string{"ka.a", "ka.bc"}
			_, cursor, _ := follow(w, "a1", attachment.Token, "", topics, time.Second)
			call := uint64(0)
			send := func() {
				t.Helper()
				call++
				for _, topic := range topics {
					_, err := w.Transport("a1").Send(w.ctx, attachment.Token, topic, call, []byte(fmt.Sprint(call)))
					assert.NilError(t, err, topic)
				}
			}
			send()
			for _, step := range []struct {
				retainedLanes int
				spaces        string
			}{{0, middle + "," + outer}, {1, outer}, {2, outer + "," + inner}, {1, all}, {1, middle + "," + inner}, {0, middle}} {
				putSpaces(step.retainedLanes, step.spaces)
				send()
			}
			w.Kill("c1")
			assert.NilError(t, w.Start("c1"))
			assert.NilError(t, w.WaitReady(20*time.Second))
			send()
			for _, topic := range topics {
				calls, _, _ := follow(w, "c2", attach(t, w, "c2", "w"+topic).Token, cursor, []string{topic}, 2*time.Second)
				assert.DeepEqual(t, calls, []uint64{1, 2, 3, 4, 5, 6, 7, 8})
			}
			current, err := w.Machines["a1"].Node().Operators.ReadConfiguration(w.ctx)
			assert.NilError(t, err)
			assert.Assert(t, !strings.Contains(fmt.Sprintf("%s", current), `"lanes"`), "the table of lanes is internal to the fleet")
		})
	}
}

// A space may request a longer retention than the fleet's default.
func TestRetentionRequestedByASpace(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 360, func(t *testing.T, w *World) {
		maxRetentionMS := w.Site.Timing.MaxRetention().Milliseconds()
		_, err := w.Put("c1", []byte(fmt.Sprintf(`{"base":0,"spaces":[{"name":"k","kind":"kept","prefix":"k","keep_ms":%d}]}`, maxRetentionMS+1)))
		assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v", err)
		requested := 2 * w.Site.Timing.Keeping
		_, err = w.Put("c1", []byte(fmt.Sprintf(`{"base":0,"spaces":[{"name":"k","kind":"kept","prefix":"k","keep_ms":%d},{"name":"l","kind":"kept","prefix":"l"}]}`, requested.Milliseconds())))
		assert.NilError(t, err)
		time.Sleep(w.Site.Timing.Spread)
		token := attach(t, w, "a1", "v").Token
		_, cursor, _ := follow(w, "a1", token, "", []string{"k1"}, time.Second)
		_, err = w.Transport("a1").Send(w.ctx, token, "k1", 1, []byte("1"))
		assert.NilError(t, err)
		time.Sleep(requested)
		calls, _, _ := follow(w, "c1", attach(t, w, "c1", "w").Token, cursor, []string{"k1"}, 2*time.Second)
		assert.DeepEqual(t, calls, []uint64{1})
		time.Sleep(w.Site.Timing.RetentionFor(requested) - requested + 10*time.Second)
		_, err = w.Transport("a1").Send(w.ctx, token, "k1", 2, []byte("2"))
		assert.NilError(t, err)
		time.Sleep(5 * time.Second)
		_, _, err = follow(w, "c2", attach(t, w, "c2", "x").Token, cursor, []string{"k1"}, 2*time.Second)
		assert.Assert(t, apierror.HasCode(err, apierror.CursorExpired), "messages were not dropped after the retention: %v", err)
	})
}

// A configuration at its size limits is accepted, is in effect on every node within the spread, and
// reads back byte for byte.
func TestLargeConfigurations(t *testing.T) {
	t.Parallel()
	for _, size := range []struct{ spaces, source int }{{514, 100 << 10}, {configuration.MaxSpaces, configuration.MaxBytes}} {
		t.Run(fmt.Sprint(size.spaces), func(t *testing.T) {
			if size.spaces > 1000 {
				skipUnderRace(t)
			}
			runFleet(t, Armor, 340, func(t *testing.T, w *World) {
				w.Watch()
				config := configuration.Config{Sequence: 5, Source: strings.Repeat("\"é\" ", size.source/5)}
				for i := range size.spaces {
					config.Spaces = append(config.Spaces, configuration.Space{Name: fmt.Sprintf("r-%d", i), Kind: "kept", Prefix: fmt.Sprintf("k%d.", i), DeadlineMS: 1500, TargetLatencyMS: 120, RetentionMS: 35000})
				}
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
				defer stop()
				_, err := w.Machines["a1"].Node().Operators.Replace(ctx, config)
				assert.NilError(t, err)
				time.Sleep(w.Site.Timing.Spread)
				for _, node := range w.Names {
					assert.Equal(t, servedSequence(w, node), uint64(5))
				}
				w.LosePower("c1", false)
				assert.NilError(t, w.Start("c1"))
				assert.NilError(t, w.WaitReady(20*time.Second))
				got, err := w.Machines["c2"].Node().Operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.Assert(t, got.Equal(config))
			})
		})
	}
}

func TestInvalidConfigurationIsNeverApplied(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 4, func(t *testing.T, w *World) {
		_, err := w.Put("c1", load.Configuration(0))
		assert.NilError(t, err)
		invalid := map[string]apierror.Code{
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
		for doc, code := range invalid {
			for _, node := range []string{"a1", "c2"} {
				_, err := w.Put(node, []byte(doc))
				assert.Assert(t, apierror.HasCode(err, code), "%s: %v", doc, err)
			}
		}
		for _, config := range []configuration.Config{
			{Base: 1, Sequence: 1}, {Base: 1, Spaces: []configuration.Space{{Name: "a", Kind: "kept"}}}, {Base: 1, Spaces: []configuration.Space{{Name: "a", Kind: "kept", Prefix: "k", RetentionMS: 1 << 30}}},
		} {
			_, err := w.Machines["c2"].Node().Operators.Replace(w.ctx, config)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationInvalid), "%v: %v", config, err)
		}
		time.Sleep(w.Site.Timing.Spread)
		for _, node := range w.Names {
			assert.Equal(t, servedSequence(w, node), uint64(1))
		}
	})
}

func TestCutNodeStopsServingBeforeANewConfigurationIsDue(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 5, func(t *testing.T, w *World) {
		w.Watch()
		applyConfiguration(t, w)
		for base := uint64(1); base < 4; base++ {
			w.Isolate("a1")
			w.Isolate("s1")
			_, err := w.Put("c2", load.Configuration(base))
			assert.NilError(t, err)
			time.Sleep(w.Site.Timing.Spread + time.Millisecond)
			for _, node := range []string{"a1", "s1"} {
				_, ready, _ := w.Transport(node).ShownConfiguration(w.ctx)
				assert.Assert(t, !ready, "%s serves while isolated, %s after configuration %d", node, w.Site.Timing.Spread, base+1)
			}
			w.Heal()
			assert.NilError(t, w.WaitReady(10*time.Second))
			assert.Equal(t, servedSequence(w, "a1"), base+1)
		}
	})
}

func TestConfigurationSurvivesAnySingleLossAndReadsBack(t *testing.T) {
	t.Parallel()
	for _, site := range []Site{Armor, Traductores} {
		t.Run(fmt.Sprint(site.Control), func(t *testing.T) {
			runFleet(t, site, 6, func(t *testing.T, w *World) {
				w.Watch()
				seq := uint64(0)
				for i := range site.Control {
					control := fmt.Sprintf("c%d", i+1)
					var err error
					seq, err = w.Put(control, load.Configuration(seq))
					assert.NilError(t, err)
					w.Wipe(control)
					ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
					got, err := w.Transport("a1").Get(ctx)
					stop()
					assert.NilError(t, err)
					assert.Equal(t, got, seq)
					assert.NilError(t, w.Start(control))
					assert.NilError(t, w.WaitUntil(30*time.Second, "the wiped node is a voter again", func() bool {
						n := w.Machines[control].Node()
						voter, ok := w.Machines["a1"].Node().VoterSet().Voter(control)
						return ok && voter.Incarnation == n.Info().Incarnation && n.Info().VoterSet == w.Machines["a1"].Node().VoterSet().Sequence
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
	runFleet(t, Armor, 8, func(t *testing.T, w *World) {
		w.Watch()
		seq := uint64(0)
		for i := range 6 {
			control := fmt.Sprintf("c%d", i%3+1)
			var wg sync.WaitGroup
			var accepted uint64
			var err error
			wg.Go(func() {
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Recovery)
				defer stop()
				accepted, err = w.Transport("a1").Put(ctx, load.Configuration(seq))
			})
			time.Sleep(time.Duration(w.Int(4)) * 500 * time.Microsecond)
			w.Kill(control)
			wg.Wait()
			time.Sleep(4 * time.Second)
			current, getErr := w.Transport("a1").Get(w.ctx)
			if apierror.HasCode(getErr, apierror.ConfigurationMissing) {
				current, getErr = 0, nil
			}
			assert.NilError(t, getErr)
			if err == nil {
				assert.Equal(t, current, accepted)
				w.History.AcceptConfiguration(seq, accepted, string(load.Configuration(seq)), time.Now())
			} else {
				assert.Assert(t, current == seq || current == seq+1, "read back %d after %d and %v", current, seq, err)
				if !apierror.HasCode(err, apierror.OutcomeUnknown) {
					assert.Equal(t, current, seq, "rejected with %v, though it was accepted", err)
				}
			}
			retryNode := []string{"a1", "s2", fmt.Sprintf("c%d", (i+1)%3+1)}[w.Int(3)]
			accepted, err = w.Put(retryNode, load.Configuration(seq))
			assert.NilError(t, err, "the same configuration again through %s, when %d was current", retryNode, current)
			assert.Equal(t, accepted, seq+1)
			seq = accepted
			assert.NilError(t, w.Start(control))
			time.Sleep(3 * time.Second)
		}
	})
}
