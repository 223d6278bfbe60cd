package controller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"postjunction/internal/membership"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
)

// emptiedMachine is an emptied machine, as the controller sees it from round to round. The test
// records since when it has been absent or has had another disk.
type emptiedMachine struct {
	controller *Controller
	view       *clusterView
	order      decommission.Order

	disks          int
	present        bool
	absentSince    time.Time
	newDiskSince   time.Time
	wasAbsentLong  bool
	hadNewDiskLong bool
}

func newEmptiedMachine() *emptiedMachine {
	c, view, _ := newFixture("s1", "s2", "s3", "s4")
	e := &emptiedMachine{controller: c, view: view, present: true}
	e.order = decommission.Order{Node: "s4", Disk: "disk-0", Done: true}
	e.updateView()
	return e
}

func (e *emptiedMachine) updateView() {
	delete(e.view.machines, "s4")
	if e.present {
		e.view.machines["s4"] = &machine{Info: membership.Info{Name: "s4", Disk: settings.DiskStorage,
			Incarnation: fmt.Sprint("disk-", e.disks), Stage: membership.Serving}}
	}
}

// runRound runs one round. Durations are measured from round to round, because the controller
// observes nothing in between.
func (e *emptiedMachine) runRound() {
	e.updateView()
	e.order = e.controller.updateReturned(e.view, e.order)
	now, delay := e.view.now, e.controller.Timing.ReplacementDelay()
	if e.present {
		e.absentSince = time.Time{}
	} else if e.absentSince.IsZero() {
		e.absentSince = now
	}
	if !e.present || e.disks == 0 {
		e.newDiskSince = time.Time{}
	} else if e.newDiskSince.IsZero() {
		e.newDiskSince = now
	}
	e.wasAbsentLong = e.wasAbsentLong || !e.absentSince.IsZero() && now.Sub(e.absentSince) >= delay
	e.hadNewDiskLong = e.hadNewDiskLong || !e.newDiskSince.IsZero() && now.Sub(e.newDiskSince) >= delay
}

// The order of an emptied machine remains done, in whatever sequence the machine leaves and
// returns. The machine serves again only after it was absent for the whole replacement delay, or
// after it was live with another disk for as long.
func TestDecommissionedMachine_ReturnsOnlyAfterReplacementDelay(t *testing.T) {
	returned := 0
	rapid.Check(t, func(t *rapid.T) {
		e := newEmptiedMachine()
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				e.view.now = e.view.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
				e.runRound()
			},
			"it restarts": func(*rapid.T) { e.runRound() },
			"it gets another disk": func(*rapid.T) {
				e.disks++
				e.present = true
				e.controller.newDiskSince = map[string]time.Time{}
				e.newDiskSince = time.Time{}
				e.runRound()
			},
			"it leaves":     func(*rapid.T) { e.present = false; e.runRound() },
			"it comes back": func(*rapid.T) { e.present = true; e.runRound() },
			"": func(t *rapid.T) {
				if !e.order.Done {
					t.Fatal("the order is no longer done")
				}
				if e.order.Returned && !e.wasAbsentLong && !e.hadNewDiskLong {
					t.Fatal("the machine serves again before the replacement delay")
				}
				if e.order.Returned {
					returned++
				}
			},
		})
	})
	assert.Assert(t, returned > 0, "void: no machine ever served again")
}
