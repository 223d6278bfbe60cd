package serve

import (
	"runtime/debug"

	"postjunction/internal/settings"
)

const (
	// memoryPercent is the part of the memory setting that the Go runtime may use.
	memoryPercent = 70
	// gcPercent trades processor time for a lower memory peak: a heap of a few MiB is collected
	// once it has grown by half. On a machine with very little processor time, below
	// scarceMilliCores, gcPercentScarce trades memory for processor time.
	gcPercent        = 50
	gcPercentScarce  = 200
	scarceMilliCores = 100
)

// limitMemory limits the process's memory to a number of MiB, 0 for no limit. milliCores is the
// processor time of the process in thousandths of a core, 0 for no limit.
func limitMemory(megabytes, milliCores int) {
	if megabytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(megabytes) << 20 * memoryPercent / 100)
	debug.SetGCPercent(heapGrowth(milliCores))
}

// heapGrowth returns by how many percent the heap grows until it is collected.
func heapGrowth(milliCores int) int {
	if milliCores > 0 && milliCores < scarceMilliCores {
		return gcPercentScarce
	}
	return gcPercent
}

// threads returns how many threads may run Go code, given the number of available cores. A node
// with a disk uses two threads even on one core. The thread that waits for a sync of the disk stays
// scheduled for up to 10 ms, and with one thread all calls would block meanwhile.
func threads(disk string, available int) int {
	if disk == settings.DiskNone {
		return available
	}
	return max(available, 2)
}
