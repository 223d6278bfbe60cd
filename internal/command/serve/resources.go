package serve

import (
	"runtime/debug"

	"postjunction/internal/settings"
)

const (
	// memoryPercent is how much of the memory setting the Go runtime may use.
	memoryPercent = 70
	// gcPercent trades processor time for a lower peak: a heap of a few MiB is collected at half as
	// much again. A machine with next to no processor, below scarceMilliCores, trades the other
	// way.
	gcPercent        = 50
	gcPercentScarce  = 200
	scarceMilliCores = 100
)

// limitMemory keeps the process's memory below a limit in MiB, 0 for none, given the thousandths of
// a core that it has, 0 for plenty.
func limitMemory(megabytes, milliCores int) {
	if megabytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(megabytes) << 20 * memoryPercent / 100)
	debug.SetGCPercent(heapGrowth(milliCores))
}

// heapGrowth returns by how much a heap grows, in percent, until it is collected.
func heapGrowth(milliCores int) int {
	if milliCores > 0 && milliCores < scarceMilliCores {
		return gcPercentScarce
	}
	return gcPercent
}

// threads returns how many threads may run Go code, of those available. One core is not one thread:
// the thread that waits for a sync of the disk keeps its place for up to 10 ms, and all calls would
// stand still meanwhile.
func threads(disk string, available int) int {
	if disk == settings.DiskNone {
		return available
	}
	return max(available, 2)
}
