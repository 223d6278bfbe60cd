package scale

import (
	"context"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A small fleet on real sockets in one process: it founds itself, a description reaches all, calls are counted.
func TestSmallFleetIsMeasured(t *testing.T) {
	r, err := Run(context.Background(), Plan{Nodes: 1, Hollow: 1, Stores: 3, Control: 3, Zones: 3, Shards: 4, Length: 1200 * time.Millisecond, Kill: true, Dir: t.TempDir(), Errs: t.Output()})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Uses), 4)
	assert.Assert(t, r.Founding > 0 && r.Spread > 0 && r.Reopen > 0)
	var swaps float64
	for _, u := range r.Uses {
		var asked, served float64
		for _, x := range u.Asked {
			asked += float64(x.Calls)
		}
		for _, x := range u.Served {
			served += float64(x.Out)
		}
		assert.Assert(t, asked > 0 && (served > 0 || u.Role == "access" || u.Role == "hollow"), "%s", u.Role)
		swaps += float64(u.Asked["/postjunction.Gossip/Exchange"].Calls)
		assert.Assert(t, u.Heap > 0 && u.Goroutines > 0 && u.System > 0, "%s", u.Role)
	}
	assert.Assert(t, swaps > 0)
}

// What a plan asks for is bounded.
func TestPlansAreBounded(t *testing.T) {
	ok := Plan{Nodes: 2, Stores: 3, Control: 3, Zones: 3, Shards: 16}
	assert.NilError(t, ok.Check())
	for _, f := range []func(p *Plan){
		func(p *Plan) { p.Nodes = processMost },
		func(p *Plan) { p.Hollow = nodesMost },
		func(p *Plan) { p.Shards = shardsMost + 1 },
		func(p *Plan) { p.Stores = 2 },
		func(p *Plan) { p.Length = longest },
	} {
		p := ok
		f(&p)
		assert.ErrorContains(t, p.Check(), "")
	}
}

// The slope is that of the lines through the sizes of each try; a try of one size gives none.
func TestSlopes(t *testing.T) {
	f := filepath.Join(t.TempDir(), "figures.csv")
	assert.NilError(t, Append(f, []string{
		"4,0,3,3,16,0,0,1,access,wakes_s,10", "14,0,3,3,16,0,0,1,access,wakes_s,30", "4,0,3,3,16,0,0,2,access,wakes_s,10", "14,0,3,3,16,0,0,2,access,wakes_s,40",
		"4,0,3,3,16,0,0,3,access,wakes_s,12",
	}))
	var b strings.Builder
	assert.NilError(t, Slopes(f, &b))
	assert.Equal(t, strings.Join(strings.Fields(b.String()), " "), "per node access wakes_s at zero -10 (-20 to -10) slope 3 (2 to 3) 10: 10 (10 to 12); 20: 40 (30 to 40);")
}
