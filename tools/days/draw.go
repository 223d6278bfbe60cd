package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

// variant is one kind of fault with the values that may be drawn for it. A machine class "" leaves
// the choice to the bench. Faults of a planned variant go into the plan of a day.
type variant struct {
	kind      string
	planned   bool
	classes   []string
	hows      []string
	counts    []int
	shares    []float64
	strengths []float64
	forS      [2]float64
	gapS      [2]float64
}

var anyClass = []string{"", "core", "store", "front"}

// variants lists every kind that the bench plays on these deployments.
var variants = []variant{
	{kind: "node_kill", classes: anyClass, counts: []int{1}, forS: [2]float64{0.5, 6},
		hows: []string{"", "power", "leader", "power leader", "leader race", "power race hard", "turn", "reader",
			"seed", "meet", "power meet hard"}},
	{kind: "node_freeze", classes: anyClass, counts: []int{1}, forS: [2]float64{0.5, 20},
		hows: []string{"", "leader", "meet", "leader race", "hard"}},
	{kind: "node_slow", classes: anyClass, counts: []int{1}, strengths: []float64{3, 5, 10}, forS: [2]float64{2, 12}},
	{kind: "roll_term", planned: true, classes: anyClass, counts: []int{2, 3}, gapS: [2]float64{0.3, 2},
		hows: []string{"", "busy"}},
	{kind: "add_nodes", planned: true, classes: []string{"store", "front"}, counts: []int{1, 2}},
	{kind: "replace_core", classes: []string{"", "store"}, strengths: []float64{0.5, 1, 2.5, 5},
		hows: []string{"", "oldest", "planned", "leader"}},
	{kind: "after_ack_kill", classes: []string{"", "store"}, counts: []int{1}, forS: [2]float64{0.3, 4},
		hows: []string{"", "kill", "timed", "taken"}},
	{kind: "after_ack_wipe", classes: []string{"", "store"}, counts: []int{1}, forS: [2]float64{0.3, 4},
		hows: []string{"", "oldest"}},
	{kind: "disk_stall", classes: []string{"core", "store"}, counts: []int{1}, forS: [2]float64{0.5, 5}},
	{kind: "disk_slow", classes: []string{"core", "store"}, counts: []int{1}, strengths: []float64{10, 30},
		forS: [2]float64{2, 8}},
	{kind: "disk_full", classes: []string{"core", "store"}, counts: []int{1}, forS: [2]float64{2, 8}},
	{kind: "clock_step", shares: []float64{0.3, 0.6, 1}, strengths: []float64{500, 2000, 8000}, forS: [2]float64{2, 10},
		hows: []string{"", "back", "ahead"}},
	{kind: "reset_conns", shares: []float64{0.1, 0.5, 1}, strengths: []float64{0.5, 1}},
	{kind: "core_cut", classes: []string{"", "", "store"}, counts: []int{1}, forS: [2]float64{2, 20},
		hows: []string{"", "one_way", "near", "all", "behind", "split", "lure", "relieve", "both", "seeds", "oldest",
			"leader", "leader race", "leader one_way race hard", "reset meet", "refuse", "meet"}},
	{kind: "node_cut", classes: anyClass, shares: []float64{0.1, 0.2}, forS: [2]float64{2, 8},
		hows: []string{"", "all"}},
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
	{kind: "ack_lost", shares: nil, strengths: []float64{0.4, 0.7}, forS: [2]float64{5, 25}},
	{kind: "retire", planned: true, forS: [2]float64{6, 12}, hows: []string{"", "wipe"}},
	{kind: "burst", strengths: []float64{2, 3}, forS: [2]float64{2, 8}},
	{kind: "shift", shares: []float64{0.3, 0.6}, forS: [2]float64{3, 10}},
	{kind: "lossy", shares: []float64{0.1, 0.3}, strengths: []float64{0.02, 0.05}, forS: [2]float64{2, 8}},
}

// controlKinds are the kinds that affect the control keys or the placement of replicas.
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
	seedStream      = 0x706a // separates the numbers of days from other seeds
	minKinds        = 4
	maxKinds        = 10
	firstMomentS    = 0.5
	quietEndS       = 3 // no fault begins in the last seconds before a closing fault
	closingsInTen   = 9 // of ten days, how many end with a closing fault
	controlInTen    = 6 // of ten faults, how many are of the control kinds
	maxClosingDownS = 2.0
)

// draw returns the day with the given number. It contains all kinds in only.
func draw(site site, number uint64, only []string) day {
	rng := rand.New(rand.NewPCG(number, seedStream))
	day := day{base: maps.Clone(site.Days[0]), name: fmt.Sprintf("own-%d", number), seed: rng.Uint64N(math.MaxInt32)}
	for _, field := range droppedFields {
		delete(day.base, field)
	}
	wanted := slices.Clone(only)
	for range minKinds + rng.IntN(maxKinds-minKinds+1) {
		wanted = append(wanted, "")
	}
	for _, kind := range wanted {
		if kind == "" && rng.IntN(10) < controlInTen {
			kind = pick(rng, controlKinds)
		}
		variant := pick(rng, ofKind(kind))
		drawn := variant.draw(rng, site.LengthS-quietEndS)
		if variant.planned {
			day.plan = append(day.plan, drawn)
		} else {
			day.faults = append(day.faults, drawn)
		}
	}
	if rng.IntN(10) < closingsInTen {
		closingVariant := pick(rng, closings)
		day.closing = &closing{Kind: closingVariant.kind, DownS: round(0.3 + rng.Float64()*maxClosingDownS),
			How: pick(rng, closingVariant.hows)}
	}
	return day
}

// ofKind returns the variants of a kind, and all variants for "". A kind may name one value of how
// after a colon.
func ofKind(kind string) []variant {
	if kind == "" {
		return variants
	}
	name, how, _ := strings.Cut(kind, ":")
	matching := slices.DeleteFunc(slices.Clone(variants), func(variant variant) bool { return variant.kind != name })
	if how == "" {
		return matching
	}
	for i := range matching {
		matching[i].hows = []string{how}
	}
	return matching
}

func (variant variant) draw(rng *rand.Rand, end float64) fault {
	drawn := fault{At: round(firstMomentS + rng.Float64()*(end-firstMomentS)), Kind: variant.kind}
	drawn.On = pick(rng, variant.classes)
	drawn.How = pick(rng, variant.hows)
	drawn.Count = pick(rng, variant.counts)
	drawn.Share = pick(rng, variant.shares)
	drawn.X = pick(rng, variant.strengths)
	drawn.ForS = uniform(rng, variant.forS)
	drawn.GapS = uniform(rng, variant.gapS)
	return drawn
}

func pick[T any](rng *rand.Rand, from []T) T {
	var zero T
	if len(from) == 0 {
		return zero
	}
	return from[rng.IntN(len(from))]
}

func uniform(rng *rand.Rand, span [2]float64) float64 {
	if span[1] == 0 {
		return 0
	}
	return round(span[0] + rng.Float64()*(span[1]-span[0]))
}

func round(value float64) float64 { return math.Round(value*100) / 100 }
