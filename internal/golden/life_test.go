package golden

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/assignment"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/testing/sim"
)

// names collects the paths of all keys of a JSON value; items of a list share one path.
func names(path string, v any, found map[string]bool) {
	switch x := v.(type) {
	case map[string]any:
		for k, y := range x {
			found[path+"."+k] = true
			names(path+"."+k, y, found)
		}
	case []any:
		for _, y := range x {
			names(path+"[]", y, found)
		}
	default:
	}
}

// A running fleet: the keys of its registers, and the names of what it counts for operators.
func TestKeysOfAFleet(t *testing.T) {
	found := map[string]bool{}
	registers := map[string]bool{"by name " + decommission.Key: true, "by name " + assignment.Key(3): true}
	var w *sim.World
	synctest.Test(t, func(t *testing.T) {
		w = sim.New(sim.Armor, 3, nil)
		defer w.Close()
		assert.NilError(t, w.Start(w.Names...))
		put := func(what string, doc []byte) {
			assert.NilError(t, w.WaitUntil(limit, what, func() bool {
				_, err := w.Put("c1", doc)
				return err == nil
			}))
		}
		put("a description is put", load.Configuration(0))
		assert.NilError(t, w.WaitReady(limit))
		put("its spaces are removed", []byte(`{"base":1,"spaces":[]}`))
		time.Sleep(w.Site.Timing.Recovery)
		for _, n := range []string{"c1", "s1", "a1"} {
			b, err := json.Marshal(w.Machines[n].Node().Operators.Counters())
			assert.NilError(t, err)
			var v any
			assert.NilError(t, json.Unmarshal(b, &v))
			names("counters "+n[:1], v, found)
		}
	})
	m := open(t, w.Machines["c1"].Disk)
	q := &acceptor.PeekRequest{VoterSet: m.voter.VoterSet().Sequence, Incarnation: disk}
	a, err := m.voter.Peek(t.Context(), q)
	assert.NilError(t, err)
	for k := range a.Slots {
		registers["register "+k] = true
	}
	var out strings.Builder
	for _, m := range []map[string]bool{registers, found} {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			fmt.Fprintln(&out, k)
		}
	}
	golden.Assert(t, out.String(), "keys.golden")
}
