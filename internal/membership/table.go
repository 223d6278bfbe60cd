package membership

import (
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/settings"
)

// forgetAfterTimeouts is how many session time-outs after its last heartbeat a node is removed.
const forgetAfterTimeouts = 10

// Table has the sessions that a control node knows: its own and those that other control nodes
// sent.
type Table struct {
	clock  clock.Clock
	timing settings.Timing

	// mu guards sessions and changed.
	mu       sync.Mutex
	sessions map[string]tableEntry
	// changed is closed, and replaced, at the next change.
	changed chan struct{}
}

type tableEntry struct {
	info    Info
	heardAt time.Time
}

// NewTable returns an empty table.
func NewTable(clk clock.Clock, timing settings.Timing) *Table {
	return &Table{
		clock:    clk,
		timing:   timing,
		sessions: map[string]tableEntry{},
		changed:  make(chan struct{}),
	}
}

// Observe records the Info that a node sent some time ago. The Info is ignored unless it is newer
// than the recorded one, even if the two are from different runs of the node.
func (t *Table) Observe(info Info, age time.Duration) {
	now := t.clock.Now()
	heardAt := now.Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, ok := t.sessions[info.Name]
	if ok && !heardAt.After(previous.heardAt) {
		return
	}
	t.sessions[info.Name] = tableEntry{info: info, heardAt: heardAt}
	hadExpired := now.Sub(previous.heardAt) >= t.timing.SessionTimeout()
	if !ok || hadExpired || previous.info.DiffersMaterially(info) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when a node joins, rejoins, or changes in a field that
// DiffersMaterially compares.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Live returns the nodes with a live session, sorted by name.
func (t *Table) Live() []Info {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Info
	for name, entry := range t.sessions {
		age := now.Sub(entry.heardAt)
		if age < t.timing.SessionTimeout() {
			live = append(live, entry.info)
		} else if age > forgetAfterTimeouts*t.timing.SessionTimeout() {
			delete(t.sessions, name)
		}
	}
	sortByName(live)
	return live
}

// Sessions returns all live sessions with their ages, in no particular order.
func (t *Table) Sessions() []Session {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var sessions []Session
	for _, entry := range t.sessions {
		if age := now.Sub(entry.heardAt); age < t.timing.SessionTimeout() {
			sessions = append(sessions, Session{Info: entry.info, Age: age})
		}
	}
	return sessions
}
