// Package sim runs whole fleets of the real code in one process under simulated time, network and
// disks.
package sim

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/event"
	"postjunction/internal/node"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/transport"
)

// Machine is one simulated machine: a disk that outlives its processes, and a process that may run
// on it.
type Machine struct {
	w    *World
	Opts settings.Options
	Disk *memlog.Disk

	mu           sync.Mutex
	n            *node.Node
	ports        *transport.Services
	lineServer   *lineServer
	run          int
	frozen       chan struct{}
	slow         time.Duration
	diskSlowdown int
	diskHangs    bool
	broken       chan struct{}
	dark         bool
	away         bool
}

func (m *Machine) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

func (m *Machine) isGone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

func (m *Machine) reset() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.broken
}

func (m *Machine) isSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

func (m *Machine) losePower() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark = true
}

func (m *Machine) snap() {
	close(m.broken)
	m.broken = make(chan struct{})
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
	d.take()
	d.m.gate()
	if d.stale() {
		return errGone
	}
	return d.Log.Sync()
}

// take waits as long as a sync takes, and while the disk hangs.
func (d gatedDisk) take() {
	drag, hung := d.m.diskDelay()
	time.Sleep(max(syncDuration, d.m.w.Site.Sync) * time.Duration(max(1, drag)))
	for ; hung && !d.stale(); _, hung = d.m.diskDelay() {
		time.Sleep(hangPollInterval)
	}
}

// CutFront cuts unless the process is gone.
func (d gatedDisk) CutFront(i uint64) error {
	if d.stale() {
		return errGone
	}
	return d.Log.CutFront(i)
}

const (
	syncDuration     = 400 * time.Microsecond
	hangPollInterval = 10 * time.Millisecond
)

func (m *Machine) diskDelay() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.diskSlowdown, m.diskHangs
}

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

func (m *Machine) services() *transport.Services {
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
	if m.n != nil || m.away {
		m.mu.Unlock()
		return nil
	}
	m.run++
	run := m.run
	m.mu.Unlock()
	w := node.Environment{Clock: machineClock{m}, Net: &endpoint{m.w, m, run},
		OnDecision: func(p int, e uint64, what string, begun time.Time) {
			m.w.History.Decide(history.Decision{Node: m.Opts.Name, Partition: p, Epoch: e, What: what, Begun: begun,
				Answered: time.Now()})
		}}
	if m.Opts.Disk != settings.DiskNone {
		w.Disk = gatedDisk{m.Disk, m, run}
	}
	n, err := node.Start(m.w.ctx, m.Opts, w, event.NewLogger(m.w.logger.With("node", m.Opts.Name)))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dark {
		m.dark = false
		m.snap()
	}
	m.n = n
	m.ports = &transport.Services{Clients: n.Clients, API: n.API(), Ended: make(chan struct{})}
	m.w.serve(m.Opts.PeerListen, m, run, n.PeerHandler())
	m.w.History.AddFault("start", time.Now())
	return nil
}

func (m *Machine) kill() {
	m.mu.Lock()
	n := m.n
	if m.ports != nil {
		close(m.ports.Ended)
	}
	x := m.lineServer
	m.n, m.ports, m.lineServer = nil, nil, nil
	m.run++
	if n != nil && !m.dark {
		m.snap()
	}
	f := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if f != nil {
		close(f)
	}
	if n != nil {
		n.Kill()
	}
	if x != nil {
		go func() { _ = x.s.Close() }()
	}
}

// lines gives what serves visits here, nil when no process runs.
func (m *Machine) lines() (*lineServer, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lineServer == nil && m.n != nil {
		m.lineServer = m.opened(m.n)
	}
	return m.lineServer, m.run
}
