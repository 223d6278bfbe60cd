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

// An owner whose data links are cut keeps its lease and its belief that it decides. While others
// decide, it must neither vouch for an attachment that was superseded nor give a final no or yes.
func TestCutOffLeaderGivesNoFinalAnswer(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		stand(t, Armor, 40+seed, func(t *testing.T, w *World) {
			described(t, w)
			w.Watch()
			topic, who := "kept/t0", "v"
			l := w.Machines["a1"].Node().VoterSet().Layout
			first := attach(t, w, "a1", who)
			for n := range uint64(3) {
				_, err := w.Transport("a1").Send(w.ctx, first.Token, topic, n+1, []byte(`"before"`))
				assert.NilError(t, err)
			}
			ps := []int{partition.Of(topic, false, l), partition.OfClient(who, false, l)}
			for _, p := range ps {
				old := w.records()[p].Leader
				data := func(x CallPoint) bool {
					return (x.From == old || x.To == old) && (strings.Contains(x.Path, "Ledger") || strings.Contains(x.Path, "Gossip"))
				}
				release, hits := w.PauseCalls(data)
				w.Freeze(old)
				assert.NilError(t, w.WaitUntil(15*time.Second, "another owner", func() bool {
					r := w.records()[p]
					return r.Leader != old && r.Recovered
				}))
				w.Thaw(old)
				second := attach(t, w, "a1", who)
				_, err := w.Transport("a1").Send(w.ctx, second.Token, topic, 4, []byte(`"after"`))
				assert.Assert(t, err == nil || apierror.HasCode(err, apierror.CallAltered), "%v", err)
				assert.NilError(t, w.WaitUntil(10*time.Second, "the old owner is licensed", func() bool { return w.Machines[old].Node().Ready() == nil }))
				stale := w.Machines[old].Node()
				ctx, stop := context.WithTimeout(w.ctx, w.Site.Timing.Spread)
				a, err := stale.Clients.Router.ReadAttachment(ctx, who, 0, false)
				if err == nil {
					assert.Equal(t, a.Attachment.Generation, second.Generation, "vouched for a superseded attachment")
				}
				_, err = stale.Clients.Router.Submit(ctx, p, &leader.Message{Client: who, Generation: second.Generation, Topic: topic, CallSeq: 5, Body: []byte(`"later"`)})
				assert.Assert(t, !apierror.HasCode(err, apierror.CallPassed), "a final no from an owner that is none: %v", err)
				stop()
				assert.Assert(t, hits() > 0, "void: nothing was held")
				release()
				time.Sleep(3 * time.Second)
			}
			assert.Assert(t, w.History.Terms() > 6, "void: no owner changed")
		})
	}
}
