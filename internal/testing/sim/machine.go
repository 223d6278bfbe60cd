// Package sim runs whole fleets of the real node code in one process under simulated time, network
// and disks.
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

// Machine is one simulated machine: a disk that outlives its processes, and at most one running
// process.
type Machine struct {
	world *World
	Opts  settings.Options
	Disk  *memlog.Disk

	// mu guards all fields below. A process is current while its number equals run. frozen is nil
	// while the machine is not frozen, and is closed when it thaws. resetCh is closed when the
	// machine's connections are reset.
	mu           sync.Mutex
	running      *node.Node
	serving      *transport.Services
	lineServer   *lineServer
	run          int
	frozen       chan struct{}
	sendDelay    time.Duration
	diskSlowdown int
	diskHangs    bool
	resetCh      chan struct{}
	unpowered    bool
	removed      bool
}

func (m *Machine) setRemoved(removed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removed = removed
}

func (m *Machine) isRemoved() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.removed
}

func (m *Machine) resetSignal() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resetCh
}

func (m *Machine) isUnpowered() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unpowered
}

func (m *Machine) losePower() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unpowered = true
}

func (m *Machine) resetConnections() {
	close(m.resetCh)
	m.resetCh = make(chan struct{})
}

func (m *Machine) waitWhileFrozen() {
	m.mu.Lock()
	thawed := m.frozen
	m.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

type machineClock struct{ machine *Machine }

// Now returns the time of the synctest bubble.
func (machineClock) Now() time.Time { return time.Now() }

// Sleep waits for a duration, and longer while the machine is frozen.
func (c machineClock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		c.machine.waitWhileFrozen()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// processDisk is a machine's disk as one of its processes uses it. Writes fail once that process
// has ended.
type processDisk struct {
	journal.Log
	machine *Machine
	run     int
}

func (d processDisk) isStale() bool {
	d.machine.mu.Lock()
	defer d.machine.mu.Unlock()
	return d.machine.run != d.run
}

// Write writes unless the process has ended.
func (d processDisk) Write(first uint64, recs [][]byte) error {
	d.machine.waitWhileFrozen()
	if d.isStale() {
		return errProcessEnded
	}
	return d.Log.Write(first, recs)
}

// Sync syncs unless the process has ended.
func (d processDisk) Sync() error {
	d.machine.waitWhileFrozen()
	if d.isStale() {
		return errProcessEnded
	}
	d.waitForSync()
	d.machine.waitWhileFrozen()
	if d.isStale() {
		return errProcessEnded
	}
	return d.Log.Sync()
}

// waitForSync waits for the duration of a sync, and for as long as the disk hangs.
func (d processDisk) waitForSync() {
	slowdown, hangs := d.machine.diskDelay()
	time.Sleep(max(syncDuration, d.machine.world.Site.Sync) * time.Duration(max(1, slowdown)))
	for ; hangs && !d.isStale(); _, hangs = d.machine.diskDelay() {
		time.Sleep(hangPollInterval)
	}
}

// CutFront truncates the front of the log unless the process has ended.
func (d processDisk) CutFront(i uint64) error {
	if d.isStale() {
		return errProcessEnded
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
	return m.running, m.run
}

// Up reports whether a process runs.
func (m *Machine) Up() bool {
	n, _ := m.node()
	return n != nil
}

func (m *Machine) services() *transport.Services {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving
}

// Node returns the running process, nil when there is none.
func (m *Machine) Node() *node.Node {
	n, _ := m.node()
	return n
}

func (m *Machine) start() error {
	m.mu.Lock()
	if m.running != nil || m.removed {
		m.mu.Unlock()
		return nil
	}
	m.run++
	run := m.run
	m.mu.Unlock()
	environment := node.Environment{Clock: machineClock{m}, Net: &endpoint{m.world, m, run},
		OnDecision: func(partition int, epoch uint64, what string, begun time.Time) {
			m.world.History.Decide(history.Decision{Node: m.Opts.Name, Partition: partition, Epoch: epoch, What: what,
				Begun: begun, Answered: time.Now()})
		}}
	if m.Opts.Disk != settings.DiskNone {
		environment.Disk = processDisk{m.Disk, m, run}
	}
	process, err := node.Start(m.world.ctx, m.Opts, environment, event.NewLogger(m.world.logger.With("node", m.Opts.Name)))
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unpowered {
		m.unpowered = false
		m.resetConnections()
	}
	m.running = process
	m.serving = &transport.Services{Clients: process.Clients, API: process.API(), Ended: make(chan struct{})}
	m.world.registerListener(m.Opts.PeerListen, m, run, process.PeerHandler())
	m.world.History.AddFault("start", time.Now())
	return nil
}

func (m *Machine) kill() {
	m.mu.Lock()
	process := m.running
	if m.serving != nil {
		close(m.serving.Ended)
	}
	lines := m.lineServer
	m.running, m.serving, m.lineServer = nil, nil, nil
	m.run++
	if process != nil && !m.unpowered {
		m.resetConnections()
	}
	thawed := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if thawed != nil {
		close(thawed)
	}
	if process != nil {
		process.Kill()
	}
	if lines != nil {
		go func() { _ = lines.server.Close() }()
	}
}

// currentLineServer returns the server of line sessions on this machine, nil when no process runs.
func (m *Machine) currentLineServer() (*lineServer, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lineServer == nil && m.running != nil {
		m.lineServer = m.newLineServer(m.running)
	}
	return m.lineServer, m.run
}
