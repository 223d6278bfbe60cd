package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// A replica that applies changes, some of them lost, late or duplicated, always converges to the
// list.
func TestListReplica_FollowsItsList(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var list VersionedList
	var replica ListReplica
	nodes := map[string]Info{}
	var sent []Change
	for range 2000 {
		name := fmt.Sprint(random.IntN(20))
		switch random.IntN(4) {
		case 0:
			delete(nodes, name)
		case 1:
			node := nodes[name]
			node.Name, node.Stage = name, fmt.Sprint(random.IntN(3))
			nodes[name] = node
		case 2:
			if node, ok := nodes[name]; ok {
				node.Configuration++
				nodes[name] = node
			}
		case 3:
			if random.IntN(200) == 0 {
				list = VersionedList{}
			}
		}
		var listed []Info
		for _, node := range nodes {
			listed = append(listed, node)
		}
		list.Set(listed)
		change := list.Since(replica.Version())
		sent = append(sent, change)
		switch random.IntN(4) {
		case 0:
			continue
		case 1:
			replica.Apply(sent[random.IntN(len(sent))])
			change = list.Since(replica.Version())
		}
		for !replica.Apply(change) {
			change = list.Since(Version{})
		}
		sortByName(listed)
		assert.Equal(t, len(replica.All()), len(listed))
		for i, node := range replica.All() {
			assert.DeepEqual(t, node, listed[i])
		}
		assert.Assert(t, list.Since(replica.Version()).Empty())
	}
}

func TestVersionedList_SmallMovesAreNoChange(t *testing.T) {
	var list VersionedList
	node := Info{Name: "a", Stage: Serving, LatencyMicros: 1000, Loads: map[int]float64{1: 10}}
	list.Set([]Info{node})
	version := list.Since(Version{}).Version
	node.LatencyMicros, node.Loads = 1100, map[int]float64{1: 11}
	list.Set([]Info{node})
	assert.Assert(t, list.Since(version).Empty())
	node.Configuration = 4
	list.Set([]Info{node})
	change := list.Since(version)
	assert.Equal(t, len(change.Updated), 0)
	assert.Equal(t, change.ConfigurationOnly["a"], uint64(4))
	node.LatencyMicros = 9000
	list.Set([]Info{node})
	assert.Equal(t, len(list.Since(version).Updated), 1)
}
