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

func standing(ss ...Space) Config {
	d := described(ss...)
	d.StandingLanes = true
	return d
}

func lanesOf(d Config) string {
	named := func(ps []string) string {
		var ns []string
		for _, p := range ps {
			ns = append(ns, cmp.Or(p, "(all)"))
		}
		return strings.Join(ns, ",")
	}
	return named(d.Lanes.Routine) + "|" + named(d.Lanes.Urgent)
}

func TestLanesTable(t *testing.T) {
	line := func(urgent bool) Space {
		return Space{Name: "line", Kind: KindRetained, Urgent: urgent, Topics: []string{"a"}}
	}
	for _, c := range []struct {
		say   string
		steps []Config
		old   RemovedSpaces
		lanes string
		kept  string
	}{
		{"inner later", []Config{standing(open("k", false)), standing(open("k", false), open("ka.", true))}, nil, "k|", "ka. false"},
		{"outer later", []Config{standing(open("ka.", true)), standing(open("ka.", true), open("k", false))}, nil, "k|ka.", ""},
		{"both at once", []Config{standing(open("ka.", true), open("k", false))}, nil, "k|ka.", ""},
		{"inner removed", []Config{standing(open("ka.", true), open("k", false)), standing(open("k", false))}, nil, "k|ka.", "ka. true"},
		{"back with another", []Config{standing(open("ka.", true)), standing(), standing(open("ka.", false))}, nil, "|ka.", "ka. true"},
		{"both gone, outer back with another", []Config{standing(open("ka.", true), open("k", false)), standing(), standing(open("k", true))}, nil, "k|ka.", "k false"},
		{"changed while it stands", []Config{standing(open("k", true)), standing(open("k", false))}, nil, "|k", "k true"},
		{"all later", []Config{standing(open("k", true)), standing(open("", false))}, nil, "(all)|k", "k true"},
		{"under all", []Config{standing(open("", false)), standing(open("", false), open("k", true))}, nil, "(all)|", "k false"},
		{"same", []Config{standing(open("ka.", true)), standing(open("k", true))}, nil, "|k", ""},
		{"a list", []Config{standing(line(true)), standing(line(false)), standing(open("l", false))}, nil, "l|line/", "line/ true"},
		{"from removed spaces", []Config{standing(open("k", false), open("lx", false))}, RemovedSpaces{"=k": true, "line": false}, "lx,line/|k", "k true"},
		{"from too many removed", []Config{standing(open("k", false), open("x", true))}, RemovedSpaces{"=k": true, leftOut: false}, "(all)|k", "k true,x false"},
		{"turned on later", []Config{described(open("k", true)), standing(open("k", true), open("ka", false))}, nil, "|k", "ka true"},
		{"turned off later", []Config{standing(open("k", true)), described(open("k", true), open("l", false))}, nil, "l|k", ""},
	} {
		var cur Config
		for _, d := range c.steps {
			if d.StandingLanes || cur.Lanes.IsDefined() {
				d = d.WithLanes(cur, c.old)
				assert.NilError(t, d.CheckLanes(), c.say)
			}
			cur = d
		}
		var kept []string
		for _, l := range cur.KeptLanes() {
			kept = append(kept, fmt.Sprint(l.Prefix, " ", l.Urgent))
		}
		assert.Equal(t, lanesOf(cur), c.lanes, c.say)
		assert.Equal(t, strings.Join(kept, ","), c.kept, c.say)
	}
	d := described(open("k", false)).WithLanes(standing(open("k", true)).WithLanes(Config{}, nil), nil)
	assert.ErrorContains(t, d.CheckLanes(), `$.spaces[0].urgent: must be true, where the lines of "k" stand, or standing_lanes be true`)
}

// Whatever valid descriptions come one after another, a name that a space once held stays in its lane: under the spaces that hold it then, and in the table.
func TestNoTopicEverChangesItsLane(t *testing.T) {
	letters := "kal"
	var names []string
	for _, n := range []int{1, 2, 3, 4, 5} {
		for i := range pow(len(letters), n) {
			s := ""
			for range n {
				s, i = s+letters[i%len(letters):][:1], i/len(letters)
			}
			names = append(names, s)
		}
	}
	names = append(names, "ka/a", "ka/b", "k/a", "k/al", "ka/ab")
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 7))
		most := []int{1, 3, 12}[seed%3]
		cur, old, first, lane := described(), RemovedSpaces{}, map[string]uint64{}, map[string]bool{}
		began := r.IntN(4) == 0
		for step := range 30 {
			d := standing()
			d.Base, d.Sequence, d.StandingLanes = cur.Sequence, cur.Sequence+1, !began && (seed%5 > 0 || r.IntN(2) > 0)
			paths := map[string]bool{}
			for range 1 + r.IntN(most) {
				s := open(names[r.IntN(60)], r.IntN(2) > 0)
				switch r.IntN(8) {
				case 0:
					s = open("", s.Urgent)
				case 1:
					s = Space{Name: []string{"k", "ka"}[r.IntN(2)], Kind: KindRetained, Urgent: s.Urgent, Topics: []string{"a", "b"}}
				case 2:
					s = open("ka/", s.Urgent)
				}
				if !paths[s.retired()] {
					paths[s.retired()] = true
					d.Spaces = append(d.Spaces, s)
				}
			}
			began = began && step < 6
			if len(d.Faults()) > 0 {
				continue
			}
			var err error
			switch {
			case d.StandingLanes || cur.Lanes.IsDefined():
				d = d.WithLanes(cur, old)
				err = d.CheckLanes()
				if d.StandingLanes {
					assert.NilError(t, err)
				}
			case d.CheckSuccession(cur) != nil:
				continue
			default:
				_, err = maps.Clone(old).Check(d, cur)
				if err == nil {
					_, _ = old.Check(d, cur)
				}
			}
			if err != nil {
				continue
			}
			cur = d
			back, err := parsed(d)
			assert.NilError(t, err)
			x := NewIndex(back)
			for _, n := range names {
				s, err := x.Find(n)
				if err != nil {
					continue
				}
				u, known := lane[n]
				if !known {
					lane[n], first[n] = s.Urgent, d.Sequence
					continue
				}
				assert.Equal(t, s.Urgent, u, "seed %d: %q stood from %d on, %v at %d", seed, n, first[n], cur, d.Sequence)
			}
		}
	}
}

func pow(b, n int) int {
	x := 1
	for range n {
		x *= b
	}
	return x
}

func parsed(d Config) (x Config, err error) { return x, x.UnmarshalJSON(d.Marshal()) }

func TestTooManyLanes(t *testing.T) {
	cur := standing()
	for i := range 3 {
		d := standing()
		for k := range MaxSpaces / 2 {
			d.Spaces = append(d.Spaces, open(fmt.Sprintf("p%d-%d.", i, k), k%4 == 0))
		}
		cur = d.WithLanes(cur, nil)
		assert.Equal(t, len(cur.KeptLanes()), 0)
	}
	assert.DeepEqual(t, cur.Lanes.Routine, []string{""})
	assert.Equal(t, len(cur.Lanes.Urgent), 3*MaxSpaces/8)
	assert.Assert(t, slices.Contains(cur.Lanes.Urgent, "p0-4."))
	d := standing(open("new", true), open("p0-4.", true), open("p0-5.", true)).WithLanes(cur, nil)
	assert.Equal(t, len(d.Lanes.Urgent), 3*MaxSpaces/8)
	var kept []string
	for _, l := range d.KeptLanes() {
		kept = append(kept, l.Prefix)
	}
	assert.DeepEqual(t, kept, []string{"new", "p0-5."})
}

// The table is the fleet's: an operator can't write it, and the same description again is the same with it.
func TestLanesAreNoPartOfWhatOperatorsWrite(t *testing.T) {
	assert.Equal(t, faults(t, `{"base":4,"spaces":[],"lanes":{}}`), "$.lanes is not a field of this document")
	assert.Equal(t, faults(t, `{"base":4,"spaces":[],"standing_lanes":1}`), "$.standing_lanes must be true or false, is 1")
	assert.Equal(t, faults(t, `{"base":4,"standing_lanes":true,"spaces":[{"name":"a","kind":"kept","prefix":"k"},{"name":"b","kind":"kept","prefix":"ka","urgent":true}]}`), "")
	assert.Equal(t, faults(t, `{"base":4,"spaces":[{"name":"","kind":"kept","all":true},{"name":"all","kind":"kept","prefix":"all"}]}`), "")
	d := standing(open("k", true))
	assert.Assert(t, d.WithLanes(Config{}, nil).Equal(d))
	assert.Assert(t, !d.Equal(described(open("k", true))))
}
