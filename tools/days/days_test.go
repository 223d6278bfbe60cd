package main

import (
	"testing"

	"gotest.tools/v3/assert"
)

var testSite = site{Name: "small", LengthS: 34,
	Days: []map[string]any{{"name": "quiet-1", "seed": int64(3), "traffic": "kept", "faults": "dropped"}}}

func TestADayIsGivenByItsNumber(t *testing.T) {
	first, second, other := draw(testSite, 7, nil), draw(testSite, 7, nil), draw(testSite, 8, nil)
	assert.DeepEqual(t, first.faults, second.faults)
	assert.DeepEqual(t, first.plan, second.plan)
	assert.Equal(t, first.seed, second.seed)
	assert.Assert(t, first.seed != other.seed)
	assert.DeepEqual(t, first.base, map[string]any{"traffic": "kept"})
}

func TestEveryKindComesOften(t *testing.T) {
	seen := map[string]int{}
	for number := uint64(1); number <= 200; number++ {
		drawn := draw(testSite, number, nil)
		for _, entry := range append(drawn.plan, drawn.faults...) {
			seen[entry.Kind]++
			assert.Assert(t, entry.At >= firstMomentS && entry.At <= testSite.LengthS-quietEndS, "%v", entry)
		}
	}
	for _, variant := range variants {
		assert.Assert(t, seen[variant.kind] >= 5, "%s came %d times in 200 days", variant.kind, seen[variant.kind])
	}
}

func TestNamedKindsAreInTheDay(t *testing.T) {
	drawn := draw(testSite, 3, []string{"core_cut:behind", "retire"})
	var cut, retire bool
	for _, entry := range append(drawn.plan, drawn.faults...) {
		cut = cut || entry.Kind == "core_cut" && entry.How == "behind"
		retire = retire || entry.Kind == "retire"
	}
	assert.Assert(t, cut && retire)
}
