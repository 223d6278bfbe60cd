package sim

import (
	"time"

	"postjunction/internal/apierror"
)

// Start starts a machine's process.
func (w *World) Start(names ...string) error {
	for _, n := range names {
		if err := w.Machines[n].start(); err != nil {
			return apierror.Wrap(apierror.Internal, err, "start %s", n)
		}
	}
	return nil
}

// Kill ends a process at once; its disk keeps what was written.
func (w *World) Kill(n string) {
	w.note("kill")
	w.Machines[n].kill()
}

func (w *World) note(what string) { w.History.AddFault(what, time.Now()) }

// LosePower ends a process at once; its disk keeps only what was synced, maybe with a torn tail.
func (w *World) LosePower(n string, torn bool) {
	w.note("power")
	w.Machines[n].losePower()
	w.Machines[n].kill()
	w.Machines[n].Disk.LosePower(torn)
}

// Wipe ends a process and empties its disk.
func (w *World) Wipe(n string) {
	w.note("wipe")
	w.Machines[n].kill()
	w.Machines[n].Disk.Wipe()
}

// Reset breaks every connection of a machine, callers' and peers', and leaves its process alone.
func (w *World) Reset(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ports == nil {
		return
	}
	w.note("reset")
	close(m.broken)
	m.broken = make(chan struct{})
	close(m.ports.Ended)
	s := *m.ports
	s.Ended = make(chan struct{})
	m.ports = &s
}

// shutdownGrace is how long the platform waits before it forces a process it asked to stop.
const shutdownGrace = 6 * time.Second

// Terminate asks a process to stop in good order, and forces it when it has not.
func (w *World) Terminate(n string) {
	m := w.Machines[n]
	if x, _ := m.node(); x != nil {
		w.note("stop")
		done := make(chan struct{})
		go func() {
			x.Stop()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(shutdownGrace):
		}
		m.kill()
	}
}

// Freeze stops a machine in its tracks, if a process runs on it.
func (w *World) Freeze(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frozen == nil && m.n != nil {
		w.note("freeze")
		m.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen machine go on.
func (w *World) Thaw(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	f := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if f != nil {
		w.note("thaw")
		close(f)
	}
}

// Slow makes all that a machine sends take longer.
func (w *World) Slow(n string, d time.Duration) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slow != d {
		w.note("slow")
	}
	m.slow = d
}

// SlowDisk makes a machine's disk take that many times as long to sync, as long as a fast disk does
// for 0 or 1.
func (w *World) SlowDisk(n string, times int) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.diskSlowdown != times {
		w.note("slow disk")
	}
	m.diskSlowdown = times
}

// HangDisk has no sync of a machine's disk end until it is told otherwise. A process that starts
// there meets the same disk.
func (w *World) HangDisk(n string, hangs bool) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.diskHangs != hangs {
		w.note("disk hangs")
	}
	m.diskHangs = hangs
}

// Cut stops what goes from a to b; * stands for all.
func (w *World) Cut(a, b string) {
	w.note("cut")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}] = true
}

// Isolate cuts a machine off both ways.
func (w *World) Isolate(n string) {
	w.Cut(n, "*")
	w.Cut("*", n)
}

// Heal mends all links.
func (w *World) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cuts) > 0 || w.loss > 0 {
		w.note("heal")
	}
	w.cuts, w.loss = map[[2]string]bool{}, 0
}

// Lose makes links drop a share of what they carry.
func (w *World) Lose(share float64) {
	w.note("lose packets")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = share
}
