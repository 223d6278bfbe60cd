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

// emptied is a machine that was emptied, as the placement duty sees it from look to look, and when what it sees began.
type emptied struct {
	duty  *Controller
	scene *scene
	order decommission.Order

	disks      int
	here       bool
	goneSince  time.Time
	otherSince time.Time
	awayLong   bool
	otherLong  bool
}

func newEmptied() *emptied {
	d, s, _ := table("s1", "s2", "s3", "s4")
	e := &emptied{duty: d, scene: s, here: true}
	e.order = decommission.Order{Node: "s4", Disk: "disk-0", Done: true}
	e.place()
	return e
}

func (e *emptied) place() {
	delete(e.scene.m, "s4")
	if e.here {
		e.scene.m["s4"] = &machine{Info: membership.Info{Name: "s4", Disk: settings.DiskStorage, Incarnation: fmt.Sprint("disk-", e.disks), Stage: membership.Serving}}
	}
}

// look has the duty look once; what lasts is told from one look to the next, as the duty knows nothing in between.
func (e *emptied) look() {
	e.place()
	e.order = e.duty.returned(e.scene, e.order)
	now, keeping := e.scene.now, e.duty.Timing.ReplacementDelay()
	if e.here {
		e.goneSince = time.Time{}
	} else if e.goneSince.IsZero() {
		e.goneSince = now
	}
	if !e.here || e.disks == 0 {
		e.otherSince = time.Time{}
	} else if e.otherSince.IsZero() {
		e.otherSince = now
	}
	e.awayLong = e.awayLong || !e.goneSince.IsZero() && now.Sub(e.goneSince) >= keeping
	e.otherLong = e.otherLong || !e.otherSince.IsZero() && now.Sub(e.otherSince) >= keeping
}

// However an emptied machine comes and goes, its order stays done, and it serves again only after it was away, or was
// there with another disk, for the keeping time without a break.
func TestAnEmptiedMachineServesAgainOnlyAfterTheKeepingTime(t *testing.T) {
	back := 0
	rapid.Check(t, func(t *rapid.T) {
		e := newEmptied()
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				e.scene.now = e.scene.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
				e.look()
			},
			"it restarts": func(*rapid.T) { e.look() },
			"it loses its disk": func(*rapid.T) {
				e.disks++
				e.here = true
				e.duty.renewed = map[string]time.Time{}
				e.otherSince = time.Time{}
				e.look()
			},
			"it goes":       func(*rapid.T) { e.here = false; e.look() },
			"it comes back": func(*rapid.T) { e.here = true; e.look() },
			"": func(t *rapid.T) {
				if !e.order.Done {
					t.Fatal("done went back")
				}
				if e.order.Returned && !e.awayLong && !e.otherLong {
					t.Fatal("it serves again too soon")
				}
				if e.order.Returned {
					back++
				}
			},
		})
	})
	assert.Assert(t, back > 0, "void: no machine ever served again")
}
