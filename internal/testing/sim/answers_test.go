package sim

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
)

// A partition leader whose data connections are cut retains its lease and considers itself the
// leader. While its successor leads, it must not confirm a superseded attachment, and it must
// neither accept a message nor reject one finally.
func TestCutOffLeaderGivesNoFinalAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, Armor, 40+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			w.Watch()
			topic, clientName := "kept/t0", "v"
			layout := w.Machines["a1"].Node().VoterSet().Layout
			first := attach(t, w, "a1", clientName)
			for callSeq := range uint64(3) {
				_, err := w.Transport("a1").Send(w.ctx, first.Token, topic, callSeq+1, []byte(`"before"`))
				assert.NilError(t, err)
			}
			partitionIDs := []int{partition.Of(topic, false, layout), partition.OfClient(clientName, false, layout)}
			for _, partitionID := range partitionIDs {
				oldLeader := w.records()[partitionID].Leader
				isDataCall := func(call CallPoint) bool {
					return (call.From == oldLeader || call.To == oldLeader) && (strings.Contains(call.Path, "Ledger") || strings.Contains(call.Path, "Gossip"))
				}
				release, hits := w.PauseCalls(isDataCall)
				w.Freeze(oldLeader)
				assert.NilError(t, w.WaitUntil(15*time.Second, "another leader", func() bool {
					r := w.records()[partitionID]
					return r.Leader != oldLeader && r.Recovered
				}))
				w.Thaw(oldLeader)
				second := attach(t, w, "a1", clientName)
				_, err := w.Transport("a1").Send(w.ctx, second.Token, topic, 4, []byte(`"after"`))
				assert.Assert(t, err == nil || apierror.HasCode(err, apierror.CallAltered), "%v", err)
				assert.NilError(t, w.WaitUntil(10*time.Second, "the old leader has a lease", func() bool { return w.Machines[oldLeader].Node().Ready() == nil }))
				oldNode := w.Machines[oldLeader].Node()
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
				response, err := oldNode.Clients.Router.ReadAttachment(ctx, clientName, 0, false)
				if err == nil {
					assert.Equal(t, response.Attachment.Generation, second.Generation, "confirmed a superseded attachment")
				}
				_, err = oldNode.Clients.Router.Submit(ctx, partitionID, &leader.Message{Client: clientName, Generation: second.Generation, Topic: topic, CallSeq: 5, Body: []byte(`"later"`)})
				assert.Assert(t, !apierror.HasCode(err, apierror.CallPassed), "a final rejection by a superseded leader: %v", err)
				stop()
				assert.Assert(t, hits() > 0, "void: nothing was paused")
				release()
				time.Sleep(3 * time.Second)
			}
			assert.Assert(t, w.History.Terms() > 6, "void: no leader changed")
		})
	}
}
