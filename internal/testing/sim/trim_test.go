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
// continues. Once the late batch is appended, the log may be trimmed only up to the input offset of
// that batch, since the state must be rebuilt from the entries after it. Then the leader is lost.
func TestTrimmingWaitsForTheInputOffset(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(3)) {
		runFleet(t, Armor, 280+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic = "kept/t0"
			partitionID := partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)
			token, earlyToken := attach(t, w, "c1", "v").Token, attach(t, w, "c1", "early").Token
			target := w.records()[partitionID].Leader
			release, hits := w.PauseCalls(func(point CallPoint) bool {
				request, _ := appendRequest(point)
				return point.From == target && point.Stage == RequestStage && appendsChangelog(point) && request.Partition == partitionID
			})
			call := uint64(0)
			for begun := time.Now(); time.Since(begun) < w.Site.Timing.Retention()+20*time.Second; {
				call++
				_, err := w.Transport("c1").Send(w.ctx, token, topic, call, []byte(fmt.Sprint(call)))
				assert.NilError(t, err)
				if call == 10 {
					_, err = w.Transport("c1").Send(w.ctx, earlyToken, topic, 1, []byte(`"early"`))
					assert.NilError(t, err)
				}
				time.Sleep(500 * time.Millisecond)
			}
			assert.Assert(t, hits() > 0, "void: the changelog was not blocked")
			assert.Equal(t, w.records()[partitionID].Leader, target, "void: the leader changed")
			release()
			inputOffset := func() uint64 {
				for _, view := range w.Machines[target].Node().Operators.Leaders() {
					if view.Partition == partitionID {
						return view.Input
					}
				}
				return 0
			}
			offsetBefore := inputOffset()
			assert.NilError(t, w.WaitUntil(5*time.Second, "the late batch is appended", func() bool { return inputOffset() > offsetBefore }))
			call++
			_, err := w.Transport("c1").Send(w.ctx, token, topic, call, []byte(fmt.Sprint(call)))
			assert.NilError(t, err, "the message that is appended with the trim")
			time.Sleep(w.Site.Timing.ChangelogInterval() / 2)
			w.Kill(target)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another leader is open", func() bool {
				record := w.records()[partitionID]
				return record.Leader != target && record.Recovered
			}))
			_, err = w.Transport("c1").Send(w.ctx, earlyToken, topic, 1, []byte(`"late"`))
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

// A leader knows per topic and per sender which entries were trimmed from its partition log. The
// next leader knows it too, since it is recorded before the trim.
func TestTrimmedEntriesAreKnown(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for seed := range uint64(seeds(2)) {
		runFleet(t, siteForSeed(seed), 290+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			const topic, quietTopic = "kept/t0", "kept/t1"
			running := w.Machines["a1"].Node()
			partitionID, quietPartition := partition.Of(topic, false, running.VoterSet().Layout), partition.Of(quietTopic, false, running.VoterSet().Layout)
			send := func(topic string, call uint64) (*leader.Decision, error) {
				partitionID := partition.Of(topic, false, running.VoterSet().Layout)
				return running.Clients.Router.Submit(w.ctx, partitionID, &leader.Message{Client: "v", Topic: topic, CallSeq: call, Body: []byte("1")})
			}
			sendAccepted := func(topic string, call uint64) uint64 {
				decision, err := send(topic, call)
				assert.NilError(t, err)
				return decision.Offset
			}
			first, second := sendAccepted(topic, 10), sendAccepted(topic, 20)
			time.Sleep(w.Site.Timing.Keeping)
			third := sendAccepted(topic, 30)
			sendAccepted(quietTopic, 5)
			checkTrimmed := func(when string) {
				topicLeader, err := w.Machines[w.records()[partitionID].Leader].Node().Clients.Router.Leaders.Leader(partitionID)
				assert.NilError(t, err)
				assert.Assert(t, topicLeader.Trimmed(topic, 0) && topicLeader.Trimmed(topic, first), "%s: trimmed entries", when)
				assert.Assert(t, !topicLeader.Trimmed(topic, second) && !topicLeader.Trimmed(topic, third), "%s: untrimmed entries", when)
				quietLeader, err := w.Machines[w.records()[quietPartition].Leader].Node().Clients.Router.Leaders.Leader(quietPartition)
				assert.NilError(t, err)
				assert.Assert(t, !quietLeader.Trimmed(quietTopic, 0) && !quietLeader.Trimmed("kept/never", 0), "%s: a topic without trimmed entries", when)
				for _, call := range []uint64{10, 20, 15, 1} {
					_, err = send(topic, call)
					assert.Assert(t, apierror.HasCode(err, apierror.CallForgotten), "%s: %d may have been accepted: %v", when, call, err)
				}
				_, err = send(topic, 25)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				_, err = send(quietTopic, 4)
				assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%s: %v", when, err)
				decision, err := send(topic, 30)
				assert.Assert(t, err == nil && decision.Duplicate && decision.Offset == third, "%s: %v", when, err)
			}
			time.Sleep(w.Site.Timing.Keeping * 2 / 5)
			checkTrimmed("at the first leader")
			oldLeader := w.records()[partitionID].Leader
			w.Kill(oldLeader)
			assert.NilError(t, w.WaitUntil(10*time.Second, "another leader is open", func() bool {
				for _, record := range w.records() {
					if record.Leader == oldLeader || !record.Recovered {
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
			for _, node := range w.Names {
				if node != target {
					w.Cut(node, target)
				}
			}
			time.Sleep(w.Site.Timing.Recovery)
			for partitionID, record := range w.records() {
				assert.Assert(t, record.Leader != target, "partition %d still waits for %s", partitionID, target)
			}
			time.Sleep(w.Site.Timing.Recovery)
			w.Heal()
			settle(w)
		})
	}
}

const isolatedBound = 10 * time.Second
