package membership

import (
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/settings"
)

// forgetAfterTimeouts is how many session time-outs after it was last heard a node is forgotten.
const forgetAfterTimeouts = 10

// Table holds sessions of a control node: its own and those that others sent.
type Table struct {
	clock  clock.Clock
	timing settings.Timing

	// mu guards all below.
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
func NewTable(source clock.Clock, timing settings.Timing) *Table {
	return &Table{
		clock:    source,
		timing:   timing,
		sessions: map[string]tableEntry{},
		changed:  make(chan struct{}),
	}
}

// Observe takes in what was heard of a node some time ago. It counts only when it was heard later
// than what is known, also where the two are of different runs of the node.
func (t *Table) Observe(info Info, age time.Duration) {
	now := t.clock.Now()
	heardAt := now.Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	before, ok := t.sessions[info.Name]
	if ok && !heardAt.After(before.heardAt) {
		return
	}
	t.sessions[info.Name] = tableEntry{info: info, heardAt: heardAt}
	hadLapsed := now.Sub(before.heardAt) >= t.timing.SessionTimeout()
	if !ok || hadLapsed || before.info.DiffersMaterially(info) {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Changed returns a channel that is closed when a node joins, comes back, or says something new in
// what DiffersMaterially compares.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Live returns the nodes with a live session, by name.
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

// Sessions returns all live sessions with their ages, in no order.
func (t *Table) Sessions() []Session {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var live []Session
	for _, entry := range t.sessions {
		if age := now.Sub(entry.heardAt); age < t.timing.SessionTimeout() {
			live = append(live, Session{Info: entry.info, Age: age})
		}
	}
	return live
}
