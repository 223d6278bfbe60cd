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
	probeInterval = 100 * time.Millisecond
	probeBytes    = 4096
)

// probe measures stalls of the host that the fleet runs on: it writes and syncs a file beside the
// fleet's disks, and sleeps. The beginning and the end of a delay at least as long as the failure
// timeout of a node are recorded as faults. probe returns the sum of these delays.
func (d *Day) probe(ctx context.Context, fleet *Fleet, record *history.History) (sum time.Duration) {
	measure := func(what string, usual time.Duration, do func()) {
		begun := time.Now()
		do()
		ended := time.Now()
		if delay := ended.Sub(begun) - usual; delay >= settings.DefaultTiming.FailureTimeout() {
			d.logf("%s of the host stalled for %s until now", what, delay)
			record.AddFault("stall of "+what, begun)
			record.AddFault("end of stall of "+what, ended)
			sum += delay
		}
	}
	file, err := os.Create(filepath.Join(fleet.Processes[0].dir, "probe"))
	if err != nil {
		d.logf("no probe: %v", err)
		return 0
	}
	defer func() { _ = file.Close() }()
	b := make([]byte, probeBytes)
	for ctx.Err() == nil {
		measure("the disk", 0, func() {
			_, _ = file.WriteAt(b, 0)
			_ = file.Sync()
		})
		measure("the processor", probeInterval, func() { wait(ctx, probeInterval) })
	}
	return sum
}
