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

// emptiedMachine is a machine that was emptied, as the controller sees it from round to round, and
// since when it has been gone or has had another disk.
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

// look runs one round. What lasts is measured from one round to the next, as the controller knows
// nothing in between.
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

// However an emptied machine comes and goes, its order stays done, and it serves again only after
// it was away, or was there with another disk, for the delay time without a break.
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
			"it loses its disk": func(*rapid.T) {
				e.disks++
				e.present = true
				e.controller.newDiskSince = map[string]time.Time{}
				e.newDiskSince = time.Time{}
				e.runRound()
			},
			"it goes":       func(*rapid.T) { e.present = false; e.runRound() },
			"it comes back": func(*rapid.T) { e.present = true; e.runRound() },
			"": func(t *rapid.T) {
				if !e.order.Done {
					t.Fatal("done went back")
				}
				if e.order.Returned && !e.wasAbsentLong && !e.hadNewDiskLong {
					t.Fatal("it serves again too soon")
				}
				if e.order.Returned {
					returned++
				}
			},
		})
	})
	assert.Assert(t, returned > 0, "void: no machine ever served again")
}
