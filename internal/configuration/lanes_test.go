package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func newLaneConfig(spaces ...Space) Config {
	config := newConfig(spaces...)
	config.UseAssignedLanes = true
	return config
}

func lanesOf(config Config) string {
	named := func(prefixes []string) string {
		var names []string
		for _, prefix := range prefixes {
			names = append(names, cmp.Or(prefix, "(all)"))
		}
		return strings.Join(names, ",")
	}
	return named(config.Lanes.Routine) + "|" + named(config.Lanes.Urgent)
}

func TestLanesTable(t *testing.T) {
	listed := func(urgent bool) Space {
		return Space{Name: "line", Kind: KindRetained, Urgent: urgent, Topics: []string{"a"}}
	}
	for _, test := range []struct {
		name       string
		steps      []Config
		removed    RemovedSpaces
		lanes      string
		overridden string
	}{
		{
			"inner later",
			[]Config{
				newLaneConfig(byPrefix("k", false)),
				newLaneConfig(byPrefix("k", false), byPrefix("ka.", true)),
			},
			nil, "k|", "ka. false",
		},
		{
			"outer later",
			[]Config{
				newLaneConfig(byPrefix("ka.", true)),
				newLaneConfig(byPrefix("ka.", true), byPrefix("k", false)),
			},
			nil, "k|ka.", "",
		},
		{"both at once", []Config{newLaneConfig(byPrefix("ka.", true), byPrefix("k", false))}, nil, "k|ka.", ""},
		{
			"inner removed",
			[]Config{
				newLaneConfig(byPrefix("ka.", true), byPrefix("k", false)),
				newLaneConfig(byPrefix("k", false)),
			},
			nil, "k|ka.", "ka. true",
		},
		{
			"added again with another",
			[]Config{
				newLaneConfig(byPrefix("ka.", true)), newLaneConfig(),
				newLaneConfig(byPrefix("ka.", false)),
			},
			nil, "|ka.", "ka. true",
		},
		{
			"both removed, outer added again with another",
			[]Config{
				newLaneConfig(byPrefix("ka.", true), byPrefix("k", false)), newLaneConfig(),
				newLaneConfig(byPrefix("k", true)),
			},
			nil, "k|ka.", "k false",
		},
		{
			"changed while it exists",
			[]Config{newLaneConfig(byPrefix("k", true)), newLaneConfig(byPrefix("k", false))},
			nil, "|k", "k true",
		},
		{
			"all later",
			[]Config{newLaneConfig(byPrefix("k", true)), newLaneConfig(byPrefix("", false))},
			nil, "(all)|k", "k true",
		},
		{
			"under all",
			[]Config{
				newLaneConfig(byPrefix("", false)),
				newLaneConfig(byPrefix("", false), byPrefix("k", true)),
			},
			nil, "(all)|", "k false",
		},
		{
			"same",
			[]Config{newLaneConfig(byPrefix("ka.", true)), newLaneConfig(byPrefix("k", true))},
			nil, "|k", "",
		},
		{
			"a list",
			[]Config{
				newLaneConfig(listed(true)), newLaneConfig(listed(false)),
				newLaneConfig(byPrefix("l", false)),
			},
			nil, "l|line/", "line/ true",
		},
		{
			"from removed spaces",
			[]Config{newLaneConfig(byPrefix("k", false), byPrefix("lx", false))},
			RemovedSpaces{"=k": true, "line": false}, "lx,line/|k", "k true",
		},
		{
			"from too many removed",
			[]Config{newLaneConfig(byPrefix("k", false), byPrefix("x", true))},
			RemovedSpaces{"=k": true, routineDropped: false}, "(all)|k", "k true,x false",
		},
		{
			"enabled later",
			[]Config{newConfig(byPrefix("k", true)), newLaneConfig(byPrefix("k", true), byPrefix("ka", false))},
			nil, "|k", "ka true",
		},
		{
			"disabled later",
			[]Config{newLaneConfig(byPrefix("k", true)), newConfig(byPrefix("k", true), byPrefix("l", false))},
			nil, "l|k", "",
		},
	} {
		var current Config
		for _, config := range test.steps {
			if config.UseAssignedLanes || current.Lanes.IsDefined() {
				config = config.WithLanes(current, test.removed)
				assert.NilError(t, config.CheckLanes(), test.name)
			}
			current = config
		}
		var overridden []string
		for _, lane := range current.OverriddenLanes() {
			overridden = append(overridden, fmt.Sprint(lane.Prefix, " ", lane.Urgent))
		}
		assert.Equal(t, lanesOf(current), test.lanes, test.name)
		assert.Equal(t, strings.Join(overridden, ","), test.overridden, test.name)
	}
	config := newConfig(byPrefix("k", false)).WithLanes(
		newLaneConfig(byPrefix("k", true)).WithLanes(Config{}, nil), nil,
	)
	assert.ErrorContains(
		t, config.CheckLanes(),
		`$.spaces[0].urgent: must be true, the lane of the topics of "k", or standing_lanes must be true`,
	)
}

// Applies random sequences of valid configurations. A name that was once in a space must stay in
// its lane, whichever space it is in later.
func TestNoTopicEverChangesItsLane(t *testing.T) {
	letters := "kal"
	var names []string
	for _, length := range []int{1, 2, 3, 4, 5} {
		for i := range pow(len(letters), length) {
			name := ""
			for range length {
				name, i = name+letters[i%len(letters):][:1], i/len(letters)
			}
			names = append(names, name)
		}
	}
	names = append(names, "ka/a", "ka/b", "k/a", "k/al", "ka/ab")
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 7))
		maxSpaces := []int{1, 3, 12}[seed%3]
		current, removed, firstSequences, urgentByName := newConfig(), RemovedSpaces{}, map[string]uint64{}, map[string]bool{}
		withoutLanes := random.IntN(4) == 0
		for step := range 30 {
			config := newLaneConfig()
			config.Base, config.Sequence = current.Sequence, current.Sequence+1
			config.UseAssignedLanes = !withoutLanes && (seed%5 > 0 || random.IntN(2) > 0)
			paths := map[string]bool{}
			for range 1 + random.IntN(maxSpaces) {
				space := byPrefix(names[random.IntN(60)], random.IntN(2) > 0)
				switch random.IntN(8) {
				case 0:
					space = byPrefix("", space.Urgent)
				case 1:
					space = Space{
						Name: []string{"k", "ka"}[random.IntN(2)], Kind: KindRetained,
						Urgent: space.Urgent, Topics: []string{"a", "b"},
					}
				case 2:
					space = byPrefix("ka/", space.Urgent)
				}
				if !paths[space.removedKey()] {
					paths[space.removedKey()] = true
					config.Spaces = append(config.Spaces, space)
				}
			}
			withoutLanes = withoutLanes && step < 6
			if len(config.Faults()) > 0 {
				continue
			}
			var err error
			switch {
			case config.UseAssignedLanes || current.Lanes.IsDefined():
				config = config.WithLanes(current, removed)
				err = config.CheckLanes()
				if config.UseAssignedLanes {
					assert.NilError(t, err)
				}
			case config.CheckSuccession(current) != nil:
				continue
			default:
				_, err = maps.Clone(removed).Check(config, current)
				if err == nil {
					_, _ = removed.Check(config, current)
				}
			}
			if err != nil {
				continue
			}
			current = config
			decoded, err := unmarshal(config)
			assert.NilError(t, err)
			index := NewIndex(decoded)
			for _, name := range names {
				space, err := index.Find(name)
				if err != nil {
					continue
				}
				urgent, known := urgentByName[name]
				if !known {
					urgentByName[name], firstSequences[name] = space.Urgent, config.Sequence
					continue
				}
				assert.Equal(
					t, space.Urgent, urgent, "seed %d: %q has had its lane since %d, %v at %d", seed, name,
					firstSequences[name], current, config.Sequence,
				)
			}
		}
	}
}

func pow(base, exponent int) int {
	result := 1
	for range exponent {
		result *= base
	}
	return result
}

func unmarshal(config Config) (decoded Config, err error) {
	return decoded, decoded.UnmarshalJSON(config.Marshal())
}

func TestTooManyLanes(t *testing.T) {
	current := newLaneConfig()
	for i := range 3 {
		config := newLaneConfig()
		for j := range MaxSpaces / 2 {
			config.Spaces = append(config.Spaces, byPrefix(fmt.Sprintf("p%d-%d.", i, j), j%4 == 0))
		}
		current = config.WithLanes(current, nil)
		assert.Equal(t, len(current.OverriddenLanes()), 0)
	}
	assert.DeepEqual(t, current.Lanes.Routine, []string{""})
	assert.Equal(t, len(current.Lanes.Urgent), 3*MaxSpaces/8)
	assert.Assert(t, slices.Contains(current.Lanes.Urgent, "p0-4."))
	config := newLaneConfig(
		byPrefix("new", true), byPrefix("p0-4.", true), byPrefix("p0-5.", true),
	).WithLanes(current, nil)
	assert.Equal(t, len(config.Lanes.Urgent), 3*MaxSpaces/8)
	var overridden []string
	for _, lane := range config.OverriddenLanes() {
		overridden = append(overridden, lane.Prefix)
	}
	assert.DeepEqual(t, overridden, []string{"new", "p0-5."})
}

// The table of lanes is maintained by the fleet: an operator can't write it, and it is not compared
// when a configuration is sent again.
func TestLanesAreNoPartOfWhatOperatorsWrite(t *testing.T) {
	assert.Equal(t, faults(t, `{"base":4,"spaces":[],"lanes":{}}`), "$.lanes is not a field of this document")
	assert.Equal(
		t, faults(t, `{"base":4,"spaces":[],"standing_lanes":1}`),
		"$.standing_lanes must be true or false, is 1",
	)
	assert.Equal(
		t,
		faults(
			t,
			`{"base":4,"standing_lanes":true,"spaces":[{"name":"a","kind":"kept","prefix":"k"},{"name":"b","kind":"kept","prefix":"ka","urgent":true}]}`,
		),
		"",
	)
	assert.Equal(
		t,
		faults(
			t,
			`{"base":4,"spaces":[{"name":"","kind":"kept","all":true},{"name":"all","kind":"kept","prefix":"all"}]}`,
		),
		"",
	)
	config := newLaneConfig(byPrefix("k", true))
	assert.Assert(t, config.WithLanes(Config{}, nil).Equal(config))
	assert.Assert(t, !config.Equal(newConfig(byPrefix("k", true))))
}
