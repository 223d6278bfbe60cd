package sim

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/node"
	"postjunction/internal/placement/decommission"
)

// emptying asks a node how far the emptying of a machine is.
func (w *World) emptying(at, n string) (decommission.Order, error) {
	var x decommission.Order
	err := w.ask(at, w.Site.Timing.CallTimeout(), func(ctx context.Context, k *node.Node) error {
		var e error
		x, e = k.Operators.DecommissionStatus(ctx, n)
		return e
	})
	if err != nil {
		return decommission.Order{}, err // a call that was given up on may still write x
	}
	return x, nil
}

// An emptied machine is restarted again and again before it is taken away: its order stays done
// wherever it is asked, and nothing moves back to it. Then it is taken away, another store loses
// its disk and all others their power.
func TestARestartDoesNotEndADecommissioning(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(4)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := siteOf(seed)
			play(t, s, 390+seed, s.Timing.Recovery, func(t *testing.T, w *World) {
				o := busiest(w)
				assert.NilError(t, w.askDrain(o))
				assert.NilError(t, w.WaitUntil(60*time.Second, o+" is empty", w.drained(o)))
				for k := range 4 {
					if k == 1 {
						w.Wipe(o)
					} else {
						w.Kill(o)
					}
					time.Sleep(w.span(1, 3))
					assert.NilError(t, w.Start(o))
					time.Sleep(w.span(4, 6))
					for _, n := range w.Names {
						x, err := w.emptying(n, o)
						assert.NilError(t, err, "asked at %s", n)
						assert.Assert(t, x.Done, "asked at %s: %+v", n, x)
					}
					assert.Equal(t, w.registered(t, o), 0, "something moved back to %s", o)
				}
				w.Remove(o, false)
				wipedWhileAllLosePower(t, w, busiestOf(w, w.Present()))
				time.Sleep(s.Timing.Recovery)
			})
		})
	}
}

// busiestOf gives the store among those named that decides for most partitions.
func busiestOf(w *World, names []string) string {
	return slices.MaxFunc(slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n[0] != 's' }), func(a, b string) int {
		return w.Machines[a].Node().Info().Partitions - w.Machines[b].Node().Info().Partitions
	})
}

// A machine is killed, or loses its disk, while it is being emptied: the order stands, and is
// carried out.
func TestADecommissioningOutlivesItsMachinesProcessAndDisk(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(6)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := siteOf(seed)
			play(t, s, 396+seed, s.Timing.Recovery, func(t *testing.T, w *World) {
				o := busiest(w)
				assert.NilError(t, w.askDrain(o))
				time.Sleep(w.span(0, 2))
				if seed%3 == 0 {
					w.Wipe(o)
				} else {
					w.Kill(o)
				}
				time.Sleep(w.span(0, 3))
				assert.NilError(t, w.Start(o))
				assert.NilError(t, w.WaitUntil(60*time.Second, o+" is empty", w.drained(o)))
				assert.Equal(t, w.registered(t, o), 0)
				time.Sleep(w.span(1, 8))
				assert.Equal(t, w.registered(t, o), 0)
			})
		})
	}
}

// A change of a record that a former holder of the placement duty decided on before an order to
// empty a machine is refused once the order is done, also where the record never named the machine.
func TestADecommissioningFencesWhatWasDecidedBefore(t *testing.T) {
	t.Parallel()
	runFleet(t, Traductores, 400, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		op := w.Machines["c1"].Node().Operators
		read := func(p int) (r assignment.Record) {
			v, err := op.Client.Read(w.ctx, assignment.Key(p))
			assert.NilError(t, err)
			r, err = assignment.Parse(v.Body, v.Version)
			assert.NilError(t, err)
			return r
		}
		var before []assignment.Record
		for p := range w.Machines["c1"].Node().VoterSet().Layout.PartitionCount() {
			before = append(before, read(p))
		}
		o := busiest(w)
		assert.NilError(t, w.askDrain(o))
		assert.NilError(t, w.WaitUntil(60*time.Second, o+" is empty", w.drained(o)))
		others := 0
		for p, r := range before {
			if !r.Includes(o) {
				others++
			}
			r.Learner = &assignment.Replica{Node: o, Incarnation: w.Machines[o].Node().Info().Incarnation}
			_, err := op.Client.Change(w.ctx, assignment.Key(p), r.Version, registerclient.NewChangeID(), r.Marshal())
			assert.Assert(t, apierror.HasCode(err, apierror.StaleBase), "partition %d: %v", p, err)
			assert.Assert(t, !read(p).Includes(o))
		}
		assert.Assert(t, others > 0, "void: %s held everything", o)
	})
}

// A node that is cut off, as an operator reaches it, gives no final answer: neither 404 nor 409 for
// a machine, nor that one is empty, nor which configuration is current.
func TestACutNodeGivesNoFinalAnswers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteOf(seed), 402+seed, func(t *testing.T, w *World) {
			_, err := w.Put("a1", load.Describe(0))
			assert.NilError(t, err)
			cut := []string{"c1", "a1"}[seed/2%2]
			other := "c2"
			w.Isolate(cut)
			for range 20 {
				time.Sleep(time.Second)
				for _, n := range []string{"nobody", "s1", "c1", "a1"} {
					_, err := w.emptying(cut, n)
					assert.Assert(t, unclear(err), "the emptying of %s: %v", n, err)
					err = w.ask(cut, 2*w.Site.Timing.CallTimeout(), func(ctx context.Context, k *node.Node) error {
						_, err := k.Operators.Decommission(ctx, n)
						return err
					})
					assert.Assert(t, unclear(err), "to empty %s: %v", n, err)
				}
				_, err := w.Put(cut, load.Describe(1))
				assert.Assert(t, unclear(err), "an order: %v", err)
				err = w.ask(cut, 2*w.Site.Timing.CallTimeout(), func(ctx context.Context, k *node.Node) error {
					_, err := k.Operators.CurrentConfiguration(ctx)
					return err
				})
				assert.Assert(t, unclear(err), "a read: %v", err)
			}
			_, err = w.emptying(other, "nobody")
			assert.Assert(t, apierror.HasCode(err, apierror.UnknownNode), "%v", err)
			w.Heal()
			time.Sleep(w.Site.Timing.SessionTimeout())
			for _, n := range w.Names {
				_, err := w.emptying(n, "s1")
				assert.Assert(t, apierror.HasCode(err, apierror.UnknownNode), "%v", err)
			}
		})
	}
}

// final are the problems that end an operator's call for good.
var final = []apierror.Code{apierror.UnknownNode, apierror.DecommissionUnsafe, apierror.AlreadyEmpty, apierror.ConfigurationConflict, apierror.ConfigurationInvalid, apierror.ConfigurationMissing}

func unclear(err error) bool {
	return err != nil && !slices.ContainsFunc(final, func(k apierror.Code) bool { return apierror.HasCode(err, k) })
}

// A machine that joined a moment ago is known through every node, also one that has not heard of
// it.
func TestANewMachineIsKnownThroughEveryNode(t *testing.T) {
	t.Parallel()
	runFleet(t, spared(Armor, "s2"), 410, func(t *testing.T, w *World) {
		assert.NilError(t, w.Add("s2b"))
		assert.NilError(t, w.WaitUntil(20*time.Second, "a control node has heard of s2b", func() bool {
			_, ok := w.Machines["c1"].Node().View.Get("s2b")
			return ok
		}))
		for _, n := range w.Present() {
			if n == "s2b" {
				continue
			}
			_, err := w.Machines[n].Node().Operators.Decommission(w.ctx, "s2b")
			assert.Assert(t, err == nil || apierror.HasCode(err, apierror.AlreadyEmpty), "through %s: %v", n, err)
		}
	})
}
