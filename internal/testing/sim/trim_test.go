package sim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
)

// The changelog of a partition stands still for longer than entries are kept, while its ledger goes
// on. Once the late batch is through, the ledger may be trimmed only as far as that batch reached:
// what the state still has to be made of must stay. Then the owner is lost.
func TestTrimmingWaitsForTheInputOffset(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		runFleet(t, Armor, 280+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic = "kept/t0"
			p := partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)
			tok, early := attach(t, w, "c1", "v").Token, attach(t, w, "c1", "early").Token
			o := w.records()[p].Leader
			release, hits := w.PauseCalls(func(x Point) bool {
				q, _ := appendRequest(x)
				return x.From == o && x.Stage == Asking && appendsChangelog(x) && q.Partition == p
			})
			n := uint64(0)
			for begun := time.Now(); time.Since(begun) < w.Site.Timing.Retention()+20*time.Second; {
				n++
				_, err := w.Port("c1").Send(w.ctx, tok, topic, n, []byte(fmt.Sprint(n)))
				assert.NilError(t, err)
				if n == 10 {
					_, err = w.Port("c1").Send(w.ctx, early, topic, 1, []byte(`"early"`))
					assert.NilError(t, err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			assert.Assert(t, hits() > 0, "void: the changelog went on")
			assert.Equal(t, w.records()[p].Leader, o, "void: the owner changed")
			release()
			late := func() uint64 {
				for _, v := range w.Machines[o].Node().Operators.Leaders() {
					if v.Partition == p {
						return v.Input
					}
				}
				return 0
			}
			was := late()
			assert.NilError(t, w.WaitUntil(5*time.Second, "the late batch is through", func() bool { return late() > was }))
			n++
			_, err := w.Port("c1").Send(w.ctx, tok, topic, n, []byte(fmt.Sprint(n)))
			assert.NilError(t, err, "the message that a trim goes along with")
			time.Sleep(w.Site.Timing.ChangelogInterval() / 2)
			w.Kill(o)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another owner is open", func() bool {
				r := w.records()[p]
				return r.Leader != o && r.Recovered
			}))
			_, err = w.Port("c1").Send(w.ctx, early, topic, 1, []byte(`"late"`))
			assert.Assert(t, apierror.HasCode(err, apierror.CallAltered) || apierror.HasCode(err, apierror.CallForgotten), "a call that came only once, while the changelog stood still: %v", err)
			_, err = w.Port("c1").Send(w.ctx, tok, topic, n+1, []byte(`"goes on"`))
			assert.NilError(t, err, "the state was not brought back")
			_, err = w.Port("c1").Send(w.ctx, tok, topic, n, []byte(fmt.Sprint(n)))
			assert.NilError(t, err, "a repeat")
			_, err = w.Port("c1").Send(w.ctx, tok, topic, n, []byte(`"other"`))
			assert.Assert(t, apierror.HasCode(err, apierror.CallAltered), "%v", err)
		})
	}
}

// What the ledger dropped is known per topic and per sender, and by the next owner too: written
// down before it is dropped.
func TestWhatIsGoneIsKnown(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteOf(seed), 290+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic, quiet = "kept/t0", "kept/t1"
			n := w.Machines["a1"].Node()
			p, q := partition.Of(topic, false, n.VoterSet().Layout), partition.Of(quiet, false, n.VoterSet().Layout)
			send := func(topic string, call uint64) (*leader.Decision, error) {
				p := partition.Of(topic, false, n.VoterSet().Layout)
				return n.Clients.Router.Submit(w.ctx, p, &leader.Message{Client: "v", Topic: topic, CallSeq: call, Body: []byte("1")})
			}
			must := func(topic string, call uint64) uint64 {
				d, err := send(topic, call)
				assert.NilError(t, err)
				return d.Offset
			}
			first, second := must(topic, 10), must(topic, 20)
			time.Sleep(w.Site.Timing.Keeping)
			third := must(topic, 30)
			must(quiet, 5)
			judge := func(when string) {
				x, err := w.Machines[w.records()[p].Leader].Node().Clients.Router.Leaders.Leader(p)
				assert.NilError(t, err)
				assert.Assert(t, x.Trimmed(topic, 0) && x.Trimmed(topic, first), "%s: what is gone", when)
				assert.Assert(t, !x.Trimmed(topic, second) && !x.Trimmed(topic, third), "%s: what is held", when)
				y, err := w.Machines[w.records()[q].Leader].Node().Clients.Router.Leaders.Leader(q)
				assert.NilError(t, err)
				assert.Assert(t, !y.Trimmed(quiet, 0) && !y.Trimmed("kept/never", 0), "%s: a topic of which nothing is gone", when)
				for _, c := range []uint64{10, 20, 15, 1} {
					_, err = send(topic, c)
					assert.Assert(t, apierror.HasCode(err, apierror.CallForgotten), "%s: %d may have been taken: %v", when, c, err)
				}
				_, err = send(topic, 25)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				_, err = send(quiet, 4)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				d, err := send(topic, 30)
				assert.Assert(t, err == nil && d.Duplicate && d.Offset == third, "%s: %v", when, err)
			}
			time.Sleep(w.Site.Timing.Keeping * 2 / 5)
			judge("at the first owner")
			old := w.records()[p].Leader
			w.Kill(old)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another owner is open", func() bool {
				for _, r := range w.records() {
					if r.Leader == old || !r.Recovered {
						return false
					}
				}
				return true
			}))
			judge("at the next owner")
		})
	}
}

// A store that is heard but hears nothing stays so for longer than the recovery bound; its
// partitions are not left waiting for it.
func TestDeafLeaderIsPassedOver(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		play(t, siteOf(seed), 300+seed, w10, func(t *testing.T, w *World) {
			o := busiest(w)
			for _, n := range w.Names {
				if n != o {
					w.Cut(n, o)
				}
			}
			time.Sleep(w.Site.Timing.Recovery)
			for p, r := range w.records() {
				assert.Assert(t, r.Leader != o, "partition %d still waits for %s", p, o)
			}
			time.Sleep(w.Site.Timing.Recovery)
			w.Heal()
			settle(w)
		})
	}
}

const w10 = 10 * time.Second
