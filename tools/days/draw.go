package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// variant is one kind of trouble with what may be drawn for it. A machine class "" leaves the choice to the bench.
type variant struct {
	kind    string
	planned bool
	classes []string
	hows    []string
	counts  []int
	shares  []float64
	x       []float64
	forS    [2]float64
	gapS    [2]float64
}

var anyClass = []string{"", "core", "store", "front"}

// variants lists every kind that the bench plays on these deployments.
var variants = []variant{
	{kind: "node_kill", classes: anyClass, counts: []int{1}, forS: [2]float64{0.5, 6},
		hows: []string{"", "power", "leader", "power leader", "leader race", "power race hard", "turn", "reader",
			"seed", "meet", "power meet hard"}},
	{kind: "node_freeze", classes: anyClass, counts: []int{1}, forS: [2]float64{0.5, 20},
		hows: []string{"", "leader", "meet", "leader race", "hard"}},
	{kind: "node_slow", classes: anyClass, counts: []int{1}, x: []float64{3, 5, 10}, forS: [2]float64{2, 12}},
	{kind: "roll_term", planned: true, classes: anyClass, counts: []int{2, 3}, gapS: [2]float64{0.3, 2},
		hows: []string{"", "busy"}},
	{kind: "add_nodes", planned: true, classes: []string{"store", "front"}, counts: []int{1, 2}},
	{kind: "replace_core", classes: []string{"", "store"}, x: []float64{0.5, 1, 2.5, 5},
		hows: []string{"", "oldest", "planned", "leader"}},
	{kind: "after_ack_kill", classes: []string{"", "store"}, counts: []int{1}, forS: [2]float64{0.3, 4},
		hows: []string{"", "kill", "timed", "taken"}},
	{kind: "after_ack_wipe", classes: []string{"", "store"}, counts: []int{1}, forS: [2]float64{0.3, 4},
		hows: []string{"", "oldest"}},
	{kind: "disk_stall", classes: []string{"core", "store"}, counts: []int{1}, forS: [2]float64{0.5, 5}},
	{kind: "disk_slow", classes: []string{"core", "store"}, counts: []int{1}, x: []float64{10, 30},
		forS: [2]float64{2, 8}},
	{kind: "disk_full", classes: []string{"core", "store"}, counts: []int{1}, forS: [2]float64{2, 8}},
	{kind: "clock_step", shares: []float64{0.3, 0.6, 1}, x: []float64{500, 2000, 8000}, forS: [2]float64{2, 10},
		hows: []string{"", "back", "ahead"}},
	{kind: "reset_conns", shares: []float64{0.1, 0.5, 1}, x: []float64{0.5, 1}},
	{kind: "core_cut", classes: []string{"", "", "store"}, counts: []int{1}, forS: [2]float64{2, 20},
		hows: []string{"", "one_way", "near", "all", "behind", "split", "lure", "relieve", "both", "seeds", "oldest",
			"leader", "leader race", "leader one_way race hard", "reset meet", "refuse", "meet"}},
	{kind: "node_cut", classes: anyClass, shares: []float64{0.1, 0.2}, forS: [2]float64{2, 8}, hows: []string{"", "all"}},
	{kind: "herd_kill", shares: []float64{0.3, 0.6, 1}, hows: []string{"", "power", "taken", "taken all"},
		forS: [2]float64{0.5, 3}},
	{kind: "herd_kill", classes: []string{"core"}, hows: []string{"", "off"}, forS: [2]float64{0.5, 3}},
	{kind: "seed_turnover"},
	{kind: "hup", shares: []float64{0.3, 1}, gapS: [2]float64{0.1, 1}},
	{kind: "config_change", planned: true, hows: []string{"route", "timeout", "idle"}},
	{kind: "config_race", planned: true, counts: []int{1, 3, 6}, gapS: [2]float64{0.2, 1.5}},
	{kind: "config_storm", planned: true, counts: []int{10, 40}, gapS: [2]float64{0.1, 0.4}},
	{kind: "bad_config", planned: true, counts: []int{1, 4}, gapS: [2]float64{0.2, 1},
		hows: []string{"cut_short", "same_place", "no_timeout", "old_version", "same_version"}},
	{kind: "ack_lost", shares: nil, x: []float64{0.4, 0.7}, forS: [2]float64{5, 25}},
	{kind: "retire", planned: true, forS: [2]float64{6, 12}, hows: []string{"", "wipe"}},
	{kind: "burst", x: []float64{2, 3}, forS: [2]float64{2, 8}},
	{kind: "shift", shares: []float64{0.3, 0.6}, forS: [2]float64{3, 10}},
	{kind: "lossy", shares: []float64{0.1, 0.3}, x: []float64{0.02, 0.05}, forS: [2]float64{2, 8}},
}

// controlKinds are the kinds that bear on the control keys or on the placement of copies.
var controlKinds = []string{
	"core_cut", "config_race", "config_storm", "replace_core", "retire", "ack_lost", "after_ack_kill",
	"after_ack_wipe", "clock_step", "herd_kill", "node_freeze", "add_nodes",
}

var closings = []variant{
	{kind: "power_off_all", hows: []string{"", "all"}},
	{kind: "kill_all", hows: []string{"", "all"}},
	{kind: "wipe_after_ack", hows: []string{"", "all", "oldest", "oldest all", "timed all", "taken all", "timed",
		"taken"}},
}

const (
	seedStream       = 0x706a // separates the numbers of days from other seeds
	kindsLeast       = 4
	kindsMost        = 10
	firstMomentS     = 0.5
	quietEndS        = 3 // no trouble begins in the last seconds before a closing fault
	closingsInTen    = 9 // of ten days, how many end with a closing fault
	controlInTen     = 6 // of ten troubles, how many are of the control kinds
	closingDownMostS = 2.0
)

// draw makes the day with the given number; the kinds of only are in it for sure.
func draw(s site, number uint64, only []string) day {
	r := rand.New(rand.NewPCG(number, seedStream))
	d := day{base: maps.Clone(s.Days[0]), name: fmt.Sprintf("own-%d", number), seed: r.Uint64N(math.MaxInt32)}
	for _, f := range droppedFields {
		delete(d.base, f)
	}
	wanted := slices.Clone(only)
	for range kindsLeast + r.IntN(kindsMost-kindsLeast+1) {
		wanted = append(wanted, "")
	}
	for _, kind := range wanted {
		if kind == "" && r.IntN(10) < controlInTen {
			kind = pick(r, controlKinds)
		}
		v := pick(r, ofKind(kind))
		t := v.draw(r, s.LengthS-quietEndS)
		if v.planned {
			d.plan = append(d.plan, t)
		} else {
			d.faults = append(d.faults, t)
		}
	}
	if r.IntN(10) < closingsInTen {
		c := pick(r, closings)
		d.closing = &closing{Kind: c.kind, DownS: round(0.3 + r.Float64()*closingDownMostS), How: pick(r, c.hows)}
	}
	return d
}

func ofKind(kind string) []variant {
	if kind == "" {
		return variants
	}
	name, how, _ := strings.Cut(kind, ":")
	some := slices.DeleteFunc(slices.Clone(variants), func(v variant) bool { return v.kind != name })
	if how == "" {
		return some
	}
	for i := range some {
		some[i].hows = []string{how}
	}
	return some
}

func (v variant) draw(r *rand.Rand, end float64) trouble {
	t := trouble{At: round(firstMomentS + r.Float64()*(end-firstMomentS)), Kind: v.kind}
	t.On = pick(r, v.classes)
	t.How = pick(r, v.hows)
	t.Count = pick(r, v.counts)
	t.Share = pick(r, v.shares)
	t.X = pick(r, v.x)
	t.ForS = within(r, v.forS)
	t.GapS = within(r, v.gapS)
	return t
}

func pick[T any](r *rand.Rand, from []T) T {
	var none T
	if len(from) == 0 {
		return none
	}
	return from[r.IntN(len(from))]
}

func within(r *rand.Rand, span [2]float64) float64 {
	if span[1] == 0 {
		return 0
	}
	return round(span[0] + r.Float64()*(span[1]-span[0]))
}

func round(x float64) float64 { return math.Round(x*100) / 100 }
