package fleet

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
)

const (
	probePace  = 100 * time.Millisecond
	probeBytes = 4096
)

// probe looks whether the machine that all of this runs on goes on: it writes and syncs beside the
// fleet's disks, and sleeps. What takes as long as a machine may be silent before it counts as lost
// is something that went wrong, and its end another. It gives the sum.
func (d *Day) probe(ctx context.Context, f *Fleet, h *history.History) (sum time.Duration) {
	look := func(what string, usual time.Duration, do func()) {
		t := time.Now()
		do()
		e := time.Now()
		if late := e.Sub(t) - usual; late >= settings.DefaultTiming.FailureTimeout() {
			d.logf("%s of the machine under the fleet stood still for %s until now", what, late)
			h.AddFault("stood still: "+what, t)
			h.AddFault("end of stood still: "+what, e)
			sum += late
		}
	}
	o, err := os.Create(filepath.Join(f.Processes[0].dir, "probe"))
	if err != nil {
		d.logf("no probe: %v", err)
		return 0
	}
	defer func() { _ = o.Close() }()
	b := make([]byte, probeBytes)
	for ctx.Err() == nil {
		look("the disk", 0, func() {
			_, _ = o.WriteAt(b, 0)
			_ = o.Sync()
		})
		look("the processor", probePace, func() { wait(ctx, probePace) })
	}
	return sum
}
