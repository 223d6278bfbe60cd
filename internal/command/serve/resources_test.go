package serve

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

// A machine with very little processor time collects garbage rarely. One with more collects it
// often to use less memory.
func TestHeapGrowth(t *testing.T) {
	for milliCores, want := range map[int]int{0: 50, 32: 200, 99: 200, 100: 50, 480: 50, 4000: 50} {
		assert.Equal(t, heapGrowth(milliCores), want, "%d thousandths of a core", milliCores)
	}
}

func TestThreads_OneSpareBesideADisk(t *testing.T) {
	assert.Equal(t, threads(settings.DiskStorage, 1), 2)
	assert.Equal(t, threads(settings.DiskControl, 1), 2)
	assert.Equal(t, threads(settings.DiskNone, 1), 1)
	assert.Equal(t, threads(settings.DiskStorage, 8), 8)
}

// With the threads of a machine with a disk, goroutines continue while one waits in the kernel.
func TestOthersRunWhileADiskIsWaitedFor(t *testing.T) {
	previous := runtime.GOMAXPROCS(threads(settings.DiskStorage, 1))
	defer runtime.GOMAXPROCS(previous)
	file, err := os.Create(filepath.Join(t.TempDir(), "x"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	turns, done := 0, make(chan struct{})
	go func() {
		for range 50 {
			_, _ = file.Write(make([]byte, 4096))
			_ = file.Sync()
		}
		close(done)
	}()
	for {
		select {
		case <-done:
			assert.Assert(t, turns > 0)
			return
		default:
			turns++
			runtime.Gosched()
		}
	}
}
