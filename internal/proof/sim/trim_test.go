package sim

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/ledger/replica"
	"postjunction/internal/partition"
	"postjunction/internal/problem"
)

// The changelog of a partition stands still for longer than entries are kept, while its ledger goes on. Once the late batch is through, the
// ledger may be trimmed only as far as that batch reached: what the state still has to be made of must stay. Then the owner is lost.
func TestTrimmingWaitsForTheInputOffset(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(3)) {
		stand(t, Armor, 280+seed, func(t *testing.T, w *World) {
			described(t, w)
			const topic = "kept/t0"
			p := partition.Of(topic, false, w.Machines["a1"].Node().Roster().Layout)
			tok := attach(t, w, "c1", "v").Token
			o := w.records()[p].Owner
			this := []byte(fmt.Sprintf(`"p":%d,`, p))
			release, hits := w.Hold(func(x Point) bool {
				return x.From == o && x.Path == replica.Append.Path && x.Stage == Asking && bytes.Contains(x.Body, lateFor) && bytes.Contains(x.Body, this)
			})
			n := uint64(0)
			for begun := time.Now(); time.Since(begun) < w.Site.Bounds.Kept()+20*time.Second; {
				n++
				_, err := w.Port("c1").Send(w.ctx, tok, topic, n, []byte(fmt.Sprint(n)))
				assert.NilError(t, err)
				time.Sleep(500 * time.Millisecond)
			}
			assert.Assert(t, hits() > 0, "void: the changelog went on")
			assert.Equal(t, w.records()[p].Owner, o, "void: the owner changed")
			release()
			late := func() uint64 {
				for _, v := range w.Machines[o].Node().Operators.Owners() {
					if v.Partition == p {
						return v.Input
					}
				}
				return 0
			}
			was := late()
			assert.NilError(t, w.Until(5*time.Second, "the late batch is through", func() bool { return late() > was }))
			time.Sleep(w.Site.Bounds.Changelog() / 2)
			w.Kill(o)
			assert.NilError(t, w.Until(10*time.Second, "another owner is open", func() bool {
				r := w.records()[p]
				return r.Owner != o && r.Settled
			}))
			_, err := w.Port("c1").Send(w.ctx, tok, topic, n+1, []byte(`"goes on"`))
			assert.NilError(t, err, "the state was not brought back")
			_, err = w.Port("c1").Send(w.ctx, tok, topic, n, []byte(fmt.Sprint(n)))
			assert.NilError(t, err, "a repeat")
			_, err = w.Port("c1").Send(w.ctx, tok, topic, n, []byte(`"other"`))
			assert.Assert(t, problem.Has(err, problem.CallAltered), "%v", err)
		})
	}
}

// A store that is heard but hears nothing stays so for longer than the recovery bound; its partitions are not left waiting for it.
func TestDeafOwnerIsPassedOver(t *testing.T) {
	t.Parallel()
	long(t)
	for seed := range uint64(seeds(2)) {
		play(t, siteOf(seed), 300+seed, w10, func(t *testing.T, w *World) {
			o := busiest(w)
			for _, n := range w.Names {
				if n != o {
					w.Cut(n, o)
				}
			}
			time.Sleep(w.Site.Bounds.Recovery)
			for p, r := range w.records() {
				assert.Assert(t, r.Owner != o, "partition %d still waits for %s", p, o)
			}
			time.Sleep(w.Site.Bounds.Recovery)
			w.Heal()
			settle(w)
		})
	}
}

const w10 = 10 * time.Second
