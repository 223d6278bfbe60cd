package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

var testSite = site{Name: "small", LengthS: 34,
	Days: []map[string]any{{"name": "quiet-1", "seed": int64(3), "traffic": "kept", "faults": "dropped"}}}

func TestADayIsGivenByItsNumber(t *testing.T) {
	a, b, other := draw(testSite, 7, nil), draw(testSite, 7, nil), draw(testSite, 8, nil)
	assert.DeepEqual(t, a.faults, b.faults)
	assert.DeepEqual(t, a.plan, b.plan)
	assert.Equal(t, a.seed, b.seed)
	assert.Assert(t, a.seed != other.seed)
	assert.DeepEqual(t, a.base, map[string]any{"traffic": "kept"})
}

func TestEveryKindComesOften(t *testing.T) {
	seen := map[string]int{}
	for n := uint64(1); n <= 200; n++ {
		d := draw(testSite, n, nil)
		for _, x := range append(d.plan, d.faults...) {
			seen[x.Kind]++
			assert.Assert(t, x.At >= firstMomentS && x.At <= testSite.LengthS-quietEndS, "%v", x)
		}
	}
	for _, v := range variants {
		assert.Assert(t, seen[v.kind] >= 5, "%s came %d times in 200 days", v.kind, seen[v.kind])
	}
}

func TestNamedKindsAreInTheDay(t *testing.T) {
	d := draw(testSite, 3, []string{"core_cut:behind", "retire"})
	var cut, retire bool
	for _, x := range append(d.plan, d.faults...) {
		cut = cut || x.Kind == "core_cut" && x.How == "behind"
		retire = retire || x.Kind == "retire"
	}
	assert.Assert(t, cut && retire)
}
