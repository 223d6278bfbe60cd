package membership

import (
	"math/rand/v2"
	"sync"
)

// Version is a point in the history of a VersionedList: which list it is, and the number of changes
// so far. The zero value precedes all others.
type Version struct {
	List    uint64 `json:"r,omitempty"`
	Changes uint64 `json:"t,omitempty"`
}

// Change is the difference of a list from a version: nodes with a new state, nodes of which only
// the configuration changed, and names that were removed. Complete means that it is the entire
// list.
type Change struct {
	Version  Version  `json:"m"`
	Base     uint64   `json:"b,omitempty"`
	Complete bool     `json:"w,omitempty"`
	Updated  []Info   `json:"n,omitempty"`
	Removed  []string `json:"g,omitempty"`
	// ConfigurationOnly has the configurations of the nodes of which nothing else changed.
	ConfigurationOnly map[string]uint64 `json:"d,omitempty"`
}

// Empty reports whether nothing changed.
func (c Change) Empty() bool {
	return !c.Complete && len(c.Updated) == 0 && len(c.Removed) == 0 && len(c.ConfigurationOnly) == 0
}

// maxRemoved limits the removed names that a list retains.
const maxRemoved = 1 << 10

// VersionedList is a list of nodes that can return the changes since a version. The zero value is
// ready for use.
type VersionedList struct {
	// mu guards id, changes, oldestBase, entries and removed.
	mu sync.Mutex
	// id is the random value of Version.List, 0 before the first Set.
	id      uint64
	changes uint64
	// oldestBase is the number of changes before which removals are no longer known.
	oldestBase uint64
	entries    map[string]listEntry
	// removed has the number of the change that removed each name.
	removed map[string]uint64
}

type listEntry struct {
	info Info
	// updatedAt is the number of the change that last changed the state, configuredAt that of the
	// change that last changed only the configuration.
	updatedAt    uint64
	configuredAt uint64
}

// Set replaces the list. A state that is equivalent to the known one is no change.
func (l *VersionedList) Set(nodes []Info) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == 0 {
		l.id, l.entries, l.removed = rand.Uint64()|1, map[string]listEntry{}, map[string]uint64{}
	}
	listed := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		listed[node.Name] = true
		l.setNode(node)
	}
	for name := range l.entries {
		if !listed[name] {
			l.changes++
			l.removed[name] = l.changes
			delete(l.entries, name)
		}
	}
	if len(l.removed) > maxRemoved {
		clear(l.removed)
		l.oldestBase = l.changes
	}
}

func (l *VersionedList) setNode(node Info) {
	entry, ok := l.entries[node.Name]
	reconfigured := entry.info
	reconfigured.Configuration = node.Configuration
	switch {
	case !ok || !node.EquivalentTo(reconfigured):
		l.changes++
		l.entries[node.Name] = listEntry{info: node, updatedAt: l.changes}
		delete(l.removed, node.Name)
	case node.Configuration != entry.info.Configuration:
		l.changes++
		l.entries[node.Name] = listEntry{info: reconfigured, updatedAt: entry.updatedAt, configuredAt: l.changes}
	}
}

// Since returns the changes after a version. It returns the entire list if that version is of
// another list or too old.
func (l *VersionedList) Since(version Version) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	change := Change{Version: Version{List: l.id, Changes: l.changes}, Base: version.Changes}
	change.Complete = version.List != l.id || version.Changes < l.oldestBase || version.Changes > l.changes
	if change.Complete {
		change.Base = 0
	} else if version.Changes == l.changes {
		return change
	}
	for name, entry := range l.entries {
		switch {
		case change.Complete || entry.updatedAt > change.Base:
			change.Updated = append(change.Updated, entry.info)
		case entry.configuredAt > change.Base:
			if change.ConfigurationOnly == nil {
				change.ConfigurationOnly = map[string]uint64{}
			}
			change.ConfigurationOnly[name] = entry.info.Configuration
		}
	}
	for name, removedAt := range l.removed {
		if !change.Complete && removedAt > change.Base {
			change.Removed = append(change.Removed, name)
		}
	}
	sortByName(change.Updated)
	return change
}
