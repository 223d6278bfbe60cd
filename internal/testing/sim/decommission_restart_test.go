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

// decommissionStatus asks a node for the status of a decommissioning.
func (w *World) decommissionStatus(through, name string) (decommission.Order, error) {
	var order decommission.Order
	err := w.callNode(through, w.Site.Timing.CallTimeout(), func(ctx context.Context, process *node.Node) error {
		var statusErr error
		order, statusErr = process.Operators.DecommissionStatus(ctx, name)
		return statusErr
	})
	if err != nil {
		return decommission.Order{}, err // a call that was given up on may still write order
	}
	return order, nil
}

// A decommissioned machine is restarted again and again before it is removed. Every node reports
// its order as done, and nothing moves back to it. Then it is removed, another storage node loses
// its disk and all others their power.
func TestARestartDoesNotEndADecommissioning(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(4)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			site := siteForSeed(seed)
			runScenario(t, site, 390+seed, site.Timing.Recovery, func(t *testing.T, w *World) {
				target := busiest(w)
				assert.NilError(t, w.startDecommission(target))
				assert.NilError(t, w.WaitUntil(60*time.Second, target+" is empty", w.decommissionDone(target)))
				for round := range 4 {
					if round == 1 {
						w.Wipe(target)
					} else {
						w.Kill(target)
					}
					time.Sleep(w.randomTenths(1, 3))
					assert.NilError(t, w.Start(target))
					time.Sleep(w.randomTenths(4, 6))
					for _, n := range w.Names {
						order, err := w.decommissionStatus(n, target)
						assert.NilError(t, err, "asked at %s", n)
						assert.Assert(t, order.Done, "asked at %s: %+v", n, order)
					}
					assert.Equal(t, w.committedReplicaCount(t, target), 0, "something moved back to %s", target)
				}
				w.Remove(target, false)
				wipeWhileOthersLosePower(t, w, busiestOf(w, w.Present()))
				time.Sleep(site.Timing.Recovery)
			})
		})
	}
}

// busiestOf returns the storage node among those named that leads the most partitions.
func busiestOf(w *World, names []string) string {
	return slices.MaxFunc(slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n[0] != 's' }), func(a, b string) int {
		return w.Machines[a].Node().Info().Partitions - w.Machines[b].Node().Info().Partitions
	})
}

// A machine is killed, or loses its disk, during its decommissioning. The order remains in effect
// and is carried out to its end.
func TestADecommissioningOutlivesItsMachinesProcessAndDisk(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(6)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			site := siteForSeed(seed)
			runScenario(t, site, 396+seed, site.Timing.Recovery, func(t *testing.T, w *World) {
				target := busiest(w)
				assert.NilError(t, w.startDecommission(target))
				time.Sleep(w.randomTenths(0, 2))
				if seed%3 == 0 {
					w.Wipe(target)
				} else {
					w.Kill(target)
				}
				time.Sleep(w.randomTenths(0, 3))
				assert.NilError(t, w.Start(target))
				assert.NilError(t, w.WaitUntil(60*time.Second, target+" is empty", w.decommissionDone(target)))
				assert.Equal(t, w.committedReplicaCount(t, target), 0)
				time.Sleep(w.randomTenths(1, 8))
				assert.Equal(t, w.committedReplicaCount(t, target), 0)
			})
		})
	}
}

// A former placement controller has decided to change a record before a machine's decommissioning
// is ordered, and writes the change after it is done. The change is rejected, even if the record
// never named the machine.
func TestADecommissioningFencesWhatWasDecidedBefore(t *testing.T) {
	t.Parallel()
	runFleet(t, Traductores, 400, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		operators := w.Machines["c1"].Node().Operators
		read := func(p int) (record assignment.Record) {
			value, err := operators.Client.Read(w.ctx, assignment.Key(p))
			assert.NilError(t, err)
			record, err = assignment.Parse(value.Body, value.Version)
			assert.NilError(t, err)
			return record
		}
		var before []assignment.Record
		for p := range w.Machines["c1"].Node().VoterSet().Layout.PartitionCount() {
			before = append(before, read(p))
		}
		target := busiest(w)
		assert.NilError(t, w.startDecommission(target))
		assert.NilError(t, w.WaitUntil(60*time.Second, target+" is empty", w.decommissionDone(target)))
		unrelated := 0
		for p, record := range before {
			if !record.Includes(target) {
				unrelated++
			}
			record.Learner = &assignment.Replica{Node: target, Incarnation: w.Machines[target].Node().Info().Incarnation}
			_, err := operators.Client.Change(w.ctx, assignment.Key(p), record.Version, registerclient.NewChangeID(), record.Marshal())
			assert.Assert(t, apierror.HasCode(err, apierror.StaleBase), "partition %d: %v", p, err)
			assert.Assert(t, !read(p).Includes(target))
		}
		assert.Assert(t, unrelated > 0, "void: %s had replicas of all partitions", target)
	})
}

// A node that is cut off from its peers, but not from operators, gives no final answer. It does not
// reject a request for a machine with 404 or 409, report that a machine is empty, or say which
// configuration is current.
func TestACutNodeGivesNoFinalAnswers(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteForSeed(seed), 402+seed, func(t *testing.T, w *World) {
			_, err := w.Put("a1", load.Configuration(0))
			assert.NilError(t, err)
			cut := []string{"c1", "a1"}[seed/2%2]
			connected := "c2"
			w.Isolate(cut)
			for range 20 {
				time.Sleep(time.Second)
				for _, machine := range []string{"unknown", "s1", "c1", "a1"} {
					_, err := w.decommissionStatus(cut, machine)
					assert.Assert(t, isNotFinal(err), "the status of %s: %v", machine, err)
					err = w.callNode(cut, 2*w.Site.Timing.CallTimeout(), func(ctx context.Context, process *node.Node) error {
						_, err := process.Operators.Decommission(ctx, machine)
						return err
					})
					assert.Assert(t, isNotFinal(err), "the decommissioning of %s: %v", machine, err)
				}
				_, err := w.Put(cut, load.Configuration(1))
				assert.Assert(t, isNotFinal(err), "a configuration: %v", err)
				err = w.callNode(cut, 2*w.Site.Timing.CallTimeout(), func(ctx context.Context, process *node.Node) error {
					_, err := process.Operators.CurrentConfiguration(ctx)
					return err
				})
				assert.Assert(t, isNotFinal(err), "a read: %v", err)
			}
			_, err = w.decommissionStatus(connected, "unknown")
			assert.Assert(t, apierror.HasCode(err, apierror.UnknownNode), "%v", err)
			w.Heal()
			time.Sleep(w.Site.Timing.SessionTimeout())
			for _, n := range w.Names {
				_, err := w.decommissionStatus(n, "s1")
				assert.Assert(t, apierror.HasCode(err, apierror.UnknownNode), "%v", err)
			}
		})
	}
}

// finalCodes are the errors that end an operator's call for good.
var finalCodes = []apierror.Code{apierror.UnknownNode, apierror.DecommissionUnsafe, apierror.AlreadyEmpty, apierror.ConfigurationConflict, apierror.ConfigurationInvalid, apierror.ConfigurationMissing}

func isNotFinal(err error) bool {
	return err != nil && !slices.ContainsFunc(finalCodes, func(code apierror.Code) bool { return apierror.HasCode(err, code) })
}

// A machine that joined a moment ago is known through every node, also through one that gossip has
// not reached yet.
func TestANewMachineIsKnownThroughEveryNode(t *testing.T) {
	t.Parallel()
	runFleet(t, withSpares(Armor, "s2"), 410, func(t *testing.T, w *World) {
		assert.NilError(t, w.Add("s2b"))
		assert.NilError(t, w.WaitUntil(20*time.Second, "a control node knows s2b", func() bool {
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
