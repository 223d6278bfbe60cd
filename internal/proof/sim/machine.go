// Package sim runs whole fleets of the real code in one process under simulated time, network and disks.
package sim

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/event"
	"postjunction/internal/node"
	"postjunction/internal/options"
	"postjunction/internal/proof/history"
	"postjunction/internal/proof/port"
)

// Machine is one simulated machine: a disk that outlives its processes, and a process that may run on it.
type Machine struct {
	w    *World
	Opts options.Options
	Disk *memlog.Disk

	mu     sync.Mutex
	n      *node.Node
	ports  *port.Services
	run    int
	frozen chan struct{}
	slow   time.Duration
	broken chan struct{}
}

func (m *Machine) reset() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broken
}

func (m *Machine) gate() {
	m.mu.Lock()
	f := m.frozen
	m.mu.Unlock()
	if f != nil {
		<-f
	}
}

type machineClock struct{ m *Machine }

// Now tells the time of the bubble.
func (machineClock) Now() time.Time { return time.Now() }

// Sleep waits, and longer while the machine is frozen.
func (c machineClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		c.m.gate()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

type gatedDisk struct {
	journal.Log
	m   *Machine
	run int
}

func (d gatedDisk) stale() bool {
	d.m.mu.Lock()
	defer d.m.mu.Unlock()
	return d.m.run != d.run
}

// Write writes unless the process is gone.
func (d gatedDisk) Write(first uint64, recs [][]byte) error {
	d.m.gate()
	if d.stale() {
		return errGone
	}
	return d.Log.Write(first, recs)
}

// Sync syncs unless the process is gone.
func (d gatedDisk) Sync() error {
	d.m.gate()
	if d.stale() {
		return errGone
	}
	time.Sleep(syncTakes)
	d.m.gate()
	if d.stale() {
		return errGone
	}
	return d.Log.Sync()
}

// CutFront cuts unless the process is gone.
func (d gatedDisk) CutFront(i uint64) error {
	if d.stale() {
		return errGone
	}
	return d.Log.CutFront(i)
}

const syncTakes = 400 * time.Microsecond

func (m *Machine) node() (*node.Node, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.n, m.run
}

// Up tells whether a process runs.
func (m *Machine) Up() bool {
	n, _ := m.node()
	return n != nil
}

func (m *Machine) services() *port.Services {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ports
}

// Node gives the running process, nil when there is none.
func (m *Machine) Node() *node.Node {
	n, _ := m.node()
	return n
}

func (m *Machine) start() error {
	m.mu.Lock()
	if m.n != nil {
		m.mu.Unlock()
		return nil
	}
	m.run++
	run := m.run
	m.mu.Unlock()
	w := node.World{Clock: machineClock{m}, Net: &endpoint{m.w, m, run}, Witness: func(p int, e uint64, what string, begun time.Time) {
		m.w.History.Decide(history.Verdict{Node: m.Opts.Name, Partition: p, Epoch: e, What: what, Begun: begun, Told: time.Now()})
	}}
	if m.Opts.Disk != options.DiskNone {
		w.Disk = gatedDisk{m.Disk, m, run}
	}
	n, err := node.Start(m.w.ctx, m.Opts, w, event.NewLogger(m.w.logger.With("node", m.Opts.Name)))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.n = n
	m.ports = &port.Services{Visitors: n.Visitors, Door: n.Door(), Gone: make(chan struct{})}
	m.w.serve(m.Opts.Fellows, m, run, n.Fellows())
	m.w.History.Disturb("start", time.Now())
	return nil
}

func (m *Machine) kill() {
	m.mu.Lock()
	n := m.n
	if m.ports != nil {
		close(m.ports.Gone)
	}
	m.n, m.ports = nil, nil
	m.run++
	f := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if f != nil {
		close(f)
	}
	if n != nil {
		n.Kill()
	}
}
