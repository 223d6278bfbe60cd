package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// A copy that takes changes, some of them lost, late or twice, always comes to what the roll holds.
func TestACopyFollowsItsRoll(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var l VersionedList
	var c ListReplica
	is := map[string]Info{}
	var old []Change
	for range 2000 {
		n := fmt.Sprint(r.IntN(20))
		switch r.IntN(4) {
		case 0:
			delete(is, n)
		case 1:
			i := is[n]
			i.Name, i.Stage = n, fmt.Sprint(r.IntN(3))
			is[n] = i
		case 2:
			if i, ok := is[n]; ok {
				i.Configuration++
				is[n] = i
			}
		case 3:
			if r.IntN(200) == 0 {
				l = VersionedList{}
			}
		}
		var all []Info
		for _, i := range is {
			all = append(all, i)
		}
		l.Set(all)
		x := l.Since(c.Version())
		old = append(old, x)
		switch r.IntN(4) {
		case 0:
			continue
		case 1:
			c.Apply(old[r.IntN(len(old))])
			x = l.Since(c.Version())
		}
		for !c.Apply(x) {
			x = l.Since(Version{})
		}
		byName(all)
		assert.Equal(t, len(c.All()), len(all))
		for k, i := range c.All() {
			assert.DeepEqual(t, i, all[k])
		}
		assert.Assert(t, l.Since(c.Version()).Empty())
	}
}

func TestWhatMovesAllTheTimeIsNoNews(t *testing.T) {
	var l VersionedList
	i := Info{Name: "a", Stage: Serving, LatencyMicros: 1000, Loads: map[int]float64{1: 10}}
	l.Set([]Info{i})
	k := l.Since(Version{}).Version
	i.LatencyMicros, i.Loads = 1100, map[int]float64{1: 11}
	l.Set([]Info{i})
	assert.Assert(t, l.Since(k).Empty())
	i.Configuration = 4
	l.Set([]Info{i})
	x := l.Since(k)
	assert.Equal(t, len(x.Updated), 0)
	assert.Equal(t, x.ConfigurationOnly["a"], uint64(4))
	i.LatencyMicros = 9000
	l.Set([]Info{i})
	assert.Equal(t, len(l.Since(k).Updated), 1)
}
