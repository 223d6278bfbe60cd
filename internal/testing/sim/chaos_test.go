package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/testing/history"
)

// isFullyReplicated reports whether every machine is up, every voter uses its present disk and the
// newest voter set, and every partition has all its replicas on the present disks.
func (w *World) isFullyReplicated() bool {
	for _, n := range w.Names {
		if !w.Machines[n].Up() {
			return false
		}
	}
	observer := w.Machines["a1"].Node()
	voterSet := observer.VoterSet()
	for _, voter := range voterSet.Voters {
		info := w.Machines[voter.Node].Node().Info()
		if info.Incarnation != voter.Incarnation || info.VoterSet != voterSet.Sequence {
			return false
		}
	}
	for p := range voterSet.Layout.PartitionCount() {
		record := observer.Store.Record(p)
		if !record.Recovered || len(record.Replicas) != voterSet.Layout.ReplicationFactor() || record.Learner != nil {
			return false
		}
		for _, replica := range record.Replicas {
			if w.Machines[replica.Node].Node().Info().Incarnation != replica.Incarnation {
				return false
			}
		}
	}
	return true
}

// runSteps runs the steps of a random run. Before a disk is wiped it waits until everything is
// fully replicated, since the fleet tolerates one loss at a time.
func (w *World) runSteps(t *testing.T, steps []Step) {
	newRand := func(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 7)) }
	for i, step := range steps {
		if step.First == "wipe" {
			assert.NilError(t, w.WaitUntil(90*time.Second, "everything is fully replicated", w.isFullyReplicated), "seed %d, step %d", w.Seed, i)
		}
		t.Logf("seed %d: %s: step %d: %s", w.Seed, time.Now().Format("04:05.000"), i, step)
		undo, undoSecond := Faults[step.First](w, newRand(step.FirstSeed)), noUndo
		time.Sleep(step.Between)
		if step.Second != "" {
			undoSecond = Faults[step.Second](w, newRand(step.SecondSeed))
		}
		time.Sleep(step.Duration)
		undo()
		time.Sleep(step.Gap)
		undoSecond()
		if step.First == "wipe" {
			w.Heal()
			for _, n := range w.Names {
				w.Thaw(n)
				w.HangDisk(n, false)
				w.Machines[n].Disk.Fill(false)
			}
			assert.NilError(t, w.Start(w.Names...))
			assert.NilError(t, w.WaitUntil(90*time.Second, "the wiped disk is repaired", w.isFullyReplicated), "seed %d, step %d", w.Seed, i)
		}
		time.Sleep(step.Rest)
	}
}

// runOperator repeatedly reads the configuration back through one node and puts the next one
// through another. When the outcome is unknown it puts the same one again through a third.
func (w *World) runOperator(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.Seed, 11))
	for {
		_ = clock.Real{}.Sleep(ctx, time.Duration(5+r.IntN(5))*time.Second)
		from, to := w.pickMachine(r, ""), w.pickMachine(r, "")
		if ctx.Err() != nil {
			return
		}
		callCtx, stop := context.WithTimeout(ctx, w.Site.Timing.Recovery)
		readAt := time.Now()
		current, err := w.Transport(from).Get(callCtx)
		stop()
		if err != nil {
			continue
		}
		w.History.ReadConfiguration(current, readAt)
		document := w.load.NumberedConfiguration(current, current+1+r.Uint64N(9), "")
		_, err = w.Put(to, document)
		if apierror.HasCode(err, apierror.OutcomeUnknown) {
			to = w.pickMachine(r, "")
			_, err = w.Put(to, document)
		}
		if apierror.HasCode(err, apierror.ConfigurationInvalid) {
			w.History.Violate(history.Invalid, "a valid configuration was rejected through %s: %v", to, err)
		}
	}
}

// coverage counts, for each fault and check of the history, the runs in which the check had data.
type coverage struct {
	// mu guards all fields below.
	mu     sync.Mutex
	runs   [2]int
	pairs  map[string]bool
	judged map[string]map[string]int
	waits  []time.Duration
}

var covered = coverage{pairs: map[string]bool{}, judged: map[string]map[string]int{}}

func (c *coverage) add(seed uint64, steps []Step, report history.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[seed%2]++
	c.waits = append(c.waits, report.LongestUndisturbed.Undisturbed)
	seen := map[string]bool{}
	for _, step := range steps {
		for _, fault := range []string{step.First, step.Second} {
			seen[fault] = true
		}
		if step.Second != "" {
			c.pairs[min(step.First, step.Second)+"+"+max(step.First, step.Second)] = true
		}
	}
	delete(seen, "")
	for fault := range seen {
		if c.judged[fault] == nil {
			c.judged[fault] = map[string]int{}
		}
		for rule, ok := range report.Judged {
			if ok {
				c.judged[fault][rule]++
			}
		}
	}
}

// table returns the counts as a table for docs/never.md.
func (c *coverage) table() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.waits)
	if len(c.waits) == 0 {
		return "no run"
	}
	quantile := func(share float64) time.Duration {
		return c.waits[int(share*float64(len(c.waits)-1))].Round(10 * time.Millisecond)
	}
	faultCount := len(FaultNames())
	table := fmt.Sprintf("%d runs at armor, %d at traductores, %d of %d pairs of different faults; longest wait after the last disturbance: median %s, p95 %s, most %s\n\n| fault |", c.runs[0], c.runs[1], len(c.pairs), faultCount*(faultCount-1)/2+faultCount, quantile(0.5), quantile(0.95), quantile(1))
	for _, rule := range history.Rules {
		name, _, _ := strings.Cut(rule, " ")
		table += " " + strings.TrimPrefix(name, "never-") + " |"
	}
	table += "\n|---|" + strings.Repeat("---|", len(history.Rules)) + "\n"
	for _, fault := range FaultNames() {
		table += "| " + fault + " |"
		for _, rule := range history.Rules {
			table += fmt.Sprintf(" %d |", c.judged[fault][rule])
		}
		table += "\n"
	}
	return table
}

func siteForSeed(seed uint64) Site { return []Site{Armor, Traductores}[seed%2] }

func chaos(t *testing.T, seed uint64, steps []Step) {
	report := runScenario(t, siteForSeed(seed), seed, time.Hour, func(t *testing.T, w *World) {
		ctx, stop := context.WithCancel(w.ctx)
		defer stop()
		w.wg.Go(func() { w.runOperator(ctx) })
		w.runSteps(t, steps)
	})
	covered.add(seed, steps, report)
}

// TestSeeds runs random faults, alone and in pairs. PJ_SEEDS=from:to searches further.
func TestSeeds(t *testing.T) {
	from, to := uint64(100), uint64(106)
	if value := os.Getenv("PJ_SEEDS"); value != "" {
		n, err := fmt.Sscanf(value, "%d:%d", &from, &to)
		assert.Assert(t, n == 2 && err == nil && from < to, "PJ_SEEDS must be from:to with from below to, is %q", value)
	}
	if raced {
		to = from + 1
	}
	if os.Getenv("PJ_SEEDS") != "" {
		t.Cleanup(func() { t.Logf("\n%s", covered.table()) })
	}
	for seed := from; seed < to; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			chaos(t, seed, PlanDay(seed))
		})
	}
}

// TestReduce, with PJ_REDUCE=seed, removes steps and second faults of a failing seed as long as it
// fails without them, and prints the rest. A seed does not fix the order of events within one
// instant, so each try is made three times.
func TestReduce(t *testing.T) {
	value := os.Getenv("PJ_REDUCE")
	if value == "" {
		t.Skip("PJ_REDUCE names no seed")
	}
	seed, err := strconv.ParseUint(value, 10, 64)
	assert.NilError(t, err, "PJ_REDUCE must be a seed, is %q", value)
	fails := func(steps []Step) bool {
		for i := range 3 {
			if !t.Run(fmt.Sprintf("%v try %d", steps, i), func(t *testing.T) { chaos(t, seed, steps) }) {
				return true
			}
		}
		return false
	}
	remaining := PlanDay(seed)
	if !fails(remaining) {
		t.Skipf("seed %d did not fail in three tries", seed)
	}
	for i := 0; i < len(remaining); {
		shorter := slices.Delete(slices.Clone(remaining), i, i+1)
		if fails(shorter) {
			remaining = shorter
			continue
		}
		if firstOnly := slices.Clone(remaining); remaining[i].Second != "" {
			firstOnly[i].Second = ""
			if fails(firstOnly) {
				remaining = firstOnly
			}
		}
		i++
	}
	t.Logf("seed %d fails with %v", seed, remaining)
}
