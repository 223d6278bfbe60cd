package sim

import (
	"time"

	"postjunction/internal/apierror"
)

// Start starts the processes of machines.
func (w *World) Start(names ...string) error {
	for _, n := range names {
		if err := w.Machines[n].start(); err != nil {
			return apierror.Wrap(apierror.Internal, err, "start %s", n)
		}
	}
	return nil
}

// Kill ends a process at once. Its disk retains what was written.
func (w *World) Kill(name string) {
	w.recordDisturbance("kill")
	w.Machines[name].kill()
}

func (w *World) recordDisturbance(what string) { w.History.AddFault(what, time.Now()) }

// LosePower ends a process at once. Its disk retains only what was synced, maybe with a torn tail.
func (w *World) LosePower(name string, torn bool) {
	w.recordDisturbance("power")
	w.Machines[name].losePower()
	w.Machines[name].kill()
	w.Machines[name].Disk.LosePower(torn)
}

// Wipe ends a process and empties its disk.
func (w *World) Wipe(name string) {
	w.recordDisturbance("wipe")
	w.Machines[name].kill()
	w.Machines[name].Disk.Wipe()
}

// Reset breaks every connection of a machine, those of clients and of peers. Its process runs on.
func (w *World) Reset(name string) {
	m := w.Machines[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.serving == nil {
		return
	}
	w.recordDisturbance("reset")
	close(m.resetCh)
	m.resetCh = make(chan struct{})
	close(m.serving.Ended)
	services := *m.serving
	services.Ended = make(chan struct{})
	m.serving = &services
}

// shutdownGrace is how long the platform waits for a process to stop before it kills it.
const shutdownGrace = 6 * time.Second

// Terminate asks a process to stop gracefully, and kills it after shutdownGrace.
func (w *World) Terminate(name string) {
	m := w.Machines[name]
	if process, _ := m.node(); process != nil {
		w.recordDisturbance("stop")
		done := make(chan struct{})
		go func() {
			process.Stop()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(shutdownGrace):
		}
		m.kill()
	}
}

// Freeze pauses a machine, if a process runs on it.
func (w *World) Freeze(name string) {
	m := w.Machines[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frozen == nil && m.running != nil {
		w.recordDisturbance("freeze")
		m.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen machine continue.
func (w *World) Thaw(name string) {
	m := w.Machines[name]
	m.mu.Lock()
	thawed := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if thawed != nil {
		w.recordDisturbance("thaw")
		close(thawed)
	}
}

// Slow delays all that a machine sends.
func (w *World) Slow(name string, delay time.Duration) {
	m := w.Machines[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sendDelay != delay {
		w.recordDisturbance("slow")
	}
	m.sendDelay = delay
}

// SlowDisk multiplies the duration of each sync of a machine's disk by a factor. A factor of 0 or 1
// restores the disk's normal duration.
func (w *World) SlowDisk(name string, factor int) {
	m := w.Machines[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.diskSlowdown != factor {
		w.recordDisturbance("slow disk")
	}
	m.diskSlowdown = factor
}

// HangDisk sets whether the syncs of a machine's disk hang. A process that starts on the machine
// later is affected too.
func (w *World) HangDisk(name string, hangs bool) {
	m := w.Machines[name]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.diskHangs != hangs {
		w.recordDisturbance("disk hangs")
	}
	m.diskHangs = hangs
}

// Cut drops what one machine sends to another. The name * means all machines.
func (w *World) Cut(from, to string) {
	w.recordDisturbance("cut")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{from, to}] = true
}

// Isolate cuts a machine off in both directions.
func (w *World) Isolate(name string) {
	w.Cut(name, "*")
	w.Cut("*", name)
}

// Heal restores all links.
func (w *World) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cuts) > 0 || w.lossRate > 0 {
		w.recordDisturbance("heal")
	}
	w.cuts, w.lossRate = map[[2]string]bool{}, 0
}

// DropPackets makes links drop a share of their packets.
func (w *World) DropPackets(share float64) {
	w.recordDisturbance("lose packets")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossRate = share
}
