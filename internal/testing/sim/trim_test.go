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

// The changelog of a partition is blocked for longer than the retention, while its partition log
// continues. Once the late batch is appended, the log may be trimmed only up to that batch, since
// the state must be rebuilt from the rest. Then the leader is lost.
func TestTrimmingWaitsForTheInputOffset(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		runFleet(t, Armor, 280+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic = "kept/t0"
			p := partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)
			token, early := attach(t, w, "c1", "v").Token, attach(t, w, "c1", "early").Token
			target := w.records()[p].Leader
			release, hits := w.PauseCalls(func(x CallPoint) bool {
				q, _ := appendRequest(x)
				return x.From == target && x.Stage == RequestStage && appendsChangelog(x) && q.Partition == p
			})
			call := uint64(0)
			for begun := time.Now(); time.Since(begun) < w.Site.Timing.Retention()+20*time.Second; {
				call++
				_, err := w.Transport("c1").Send(w.ctx, token, topic, call, []byte(fmt.Sprint(call)))
				assert.NilError(t, err)
				if call == 10 {
					_, err = w.Transport("c1").Send(w.ctx, early, topic, 1, []byte(`"early"`))
					assert.NilError(t, err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			assert.Assert(t, hits() > 0, "void: the changelog was not blocked")
			assert.Equal(t, w.records()[p].Leader, target, "void: the leader changed")
			release()
			inputOffset := func() uint64 {
				for _, v := range w.Machines[target].Node().Operators.Leaders() {
					if v.Partition == p {
						return v.Input
					}
				}
				return 0
			}
			was := inputOffset()
			assert.NilError(t, w.WaitUntil(5*time.Second, "the late batch is appended", func() bool { return inputOffset() > was }))
			call++
			_, err := w.Transport("c1").Send(w.ctx, token, topic, call, []byte(fmt.Sprint(call)))
			assert.NilError(t, err, "the message that is appended with the trim")
			time.Sleep(w.Site.Timing.ChangelogInterval() / 2)
			w.Kill(target)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another leader is open", func() bool {
				r := w.records()[p]
				return r.Leader != target && r.Recovered
			}))
			_, err = w.Transport("c1").Send(w.ctx, early, topic, 1, []byte(`"late"`))
			assert.Assert(t, apierror.HasCode(err, apierror.CallAltered) || apierror.HasCode(err, apierror.CallForgotten), "a call that was sent only once, while the changelog was blocked: %v", err)
			_, err = w.Transport("c1").Send(w.ctx, token, topic, call+1, []byte(`"goes on"`))
			assert.NilError(t, err, "the state was not rebuilt")
			_, err = w.Transport("c1").Send(w.ctx, token, topic, call, []byte(fmt.Sprint(call)))
			assert.NilError(t, err, "a repeat")
			_, err = w.Transport("c1").Send(w.ctx, token, topic, call, []byte(`"other"`))
			assert.Assert(t, apierror.HasCode(err, apierror.CallAltered), "%v", err)
		})
	}
}

// What the partition log trimmed is known per topic and per sender. The next leader knows it too,
// since it is recorded before the trim.
func TestTrimmedEntriesAreKnown(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteForSeed(seed), 290+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic, quiet = "kept/t0", "kept/t1"
			n := w.Machines["a1"].Node()
			p, quietPartition := partition.Of(topic, false, n.VoterSet().Layout), partition.Of(quiet, false, n.VoterSet().Layout)
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
			checkTrimmed := func(when string) {
				x, err := w.Machines[w.records()[p].Leader].Node().Clients.Router.Leaders.Leader(p)
				assert.NilError(t, err)
				assert.Assert(t, x.Trimmed(topic, 0) && x.Trimmed(topic, first), "%s: trimmed entries", when)
				assert.Assert(t, !x.Trimmed(topic, second) && !x.Trimmed(topic, third), "%s: untrimmed entries", when)
				y, err := w.Machines[w.records()[quietPartition].Leader].Node().Clients.Router.Leaders.Leader(quietPartition)
				assert.NilError(t, err)
				assert.Assert(t, !y.Trimmed(quiet, 0) && !y.Trimmed("kept/never", 0), "%s: a topic without trimmed entries", when)
				for _, c := range []uint64{10, 20, 15, 1} {
					_, err = send(topic, c)
					assert.Assert(t, apierror.HasCode(err, apierror.CallForgotten), "%s: %d may have been accepted: %v", when, c, err)
				}
				_, err = send(topic, 25)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				_, err = send(quiet, 4)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				d, err := send(topic, 30)
				assert.Assert(t, err == nil && d.Duplicate && d.Offset == third, "%s: %v", when, err)
			}
			time.Sleep(w.Site.Timing.Keeping * 2 / 5)
			checkTrimmed("at the first leader")
			old := w.records()[p].Leader
			w.Kill(old)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another leader is open", func() bool {
				for _, r := range w.records() {
					if r.Leader == old || !r.Recovered {
						return false
					}
				}
				return true
			}))
			checkTrimmed("at the next leader")
		})
	}
}

// A storage node sends but receives nothing for longer than the recovery bound. Its partitions get
// other leaders.
func TestLeaderThatReceivesNothingIsReplaced(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runScenario(t, siteForSeed(seed), 300+seed, isolatedBound, func(t *testing.T, w *World) {
			target := busiest(w)
			for _, n := range w.Names {
				if n != target {
					w.Cut(n, target)
				}
			}
			time.Sleep(w.Site.Timing.Recovery)
			for p, r := range w.records() {
				assert.Assert(t, r.Leader != target, "partition %d still waits for %s", p, target)
			}
			time.Sleep(w.Site.Timing.Recovery)
			w.Heal()
			settle(w)
		})
	}
}

const isolatedBound = 10 * time.Second
