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

// collectPaths collects the paths of all keys of a JSON value. Items of a list share one path.
func collectPaths(path string, value any, found map[string]bool) {
	switch typed := value.(type) {
	case map[string]any:
		for key, item := range typed {
			found[path+"."+key] = true
			collectPaths(path+"."+key, item, found)
		}
	case []any:
		for _, item := range typed {
			collectPaths(path+"[]", item, found)
		}
	default:
	}
}

// Compares the keys of a running fleet's registers and the names of its counters.
func TestKeysOfAFleet(t *testing.T) {
	found := map[string]bool{}
	registers := map[string]bool{"by name " + decommission.Key: true, "by name " + assignment.Key(3): true}
	var world *sim.World
	synctest.Test(t, func(t *testing.T) {
		world = sim.New(sim.Armor, 3, nil)
		defer world.Close()
		assert.NilError(t, world.Start(world.Names...))
		put := func(what string, document []byte) {
			assert.NilError(t, world.WaitUntil(limit, what, func() bool {
				_, err := world.Put("c1", document)
				return err == nil
			}))
		}
		put("a configuration is accepted", load.Configuration(0))
		assert.NilError(t, world.WaitReady(limit))
		put("its spaces are removed", []byte(`{"base":1,"spaces":[]}`))
		time.Sleep(world.Site.Timing.Recovery)
		for _, name := range []string{"c1", "s1", "a1"} {
			b, err := json.Marshal(world.Machines[name].Node().Operators.Counters())
			assert.NilError(t, err)
			var counters any
			assert.NilError(t, json.Unmarshal(b, &counters))
			collectPaths("counters "+name[:1], counters, found)
		}
	})
	opened := open(t, world.Machines["c1"].Disk)
	request := &acceptor.PeekRequest{VoterSet: opened.voter.VoterSet().Sequence, Incarnation: diskIncarnation}
	answer, err := opened.voter.Peek(t.Context(), request)
	assert.NilError(t, err)
	for key := range answer.Slots {
		registers["register "+key] = true
	}
	var out strings.Builder
	for _, paths := range []map[string]bool{registers, found} {
		for _, path := range slices.Sorted(maps.Keys(paths)) {
			fmt.Fprintln(&out, path)
		}
	}
	golden.Assert(t, out.String(), "keys.golden")
}
