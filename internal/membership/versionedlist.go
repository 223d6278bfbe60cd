package membership

import (
	"math/rand/v2"
	"sync"
)

// Version is a point in the history of a VersionedList: which list it is, and how many changes
// there were. The zero value is before all.
type Version struct {
	List    uint64 `json:"r,omitempty"`
	Changes uint64 `json:"t,omitempty"`
}

// Change is what came to a list after a version: nodes whose state is new, nodes that only have
// another configuration, and names that are gone. Complete says that it is the entire list.
type Change struct {
	Version  Version  `json:"m"`
	Base     uint64   `json:"b,omitempty"`
	Complete bool     `json:"w,omitempty"`
	Updated  []Info   `json:"n,omitempty"`
	Removed  []string `json:"g,omitempty"`
	// ConfigurationOnly has the configurations of nodes of which nothing else changed.
	ConfigurationOnly map[string]uint64 `json:"d,omitempty"`
}

// Empty reports whether there is nothing new.
func (c Change) Empty() bool {
	return !c.Complete && len(c.Updated) == 0 && len(c.Removed) == 0 && len(c.ConfigurationOnly) == 0
}

// maxRemoved is how many removed names a list remembers.
const maxRemoved = 1 << 10

// VersionedList is a list of nodes that can say what changed since a version. The zero value is
// ready for use.
type VersionedList struct {
	// mu guards all below.
	mu sync.Mutex
	// id is the random Version.List, 0 before the first Set.
	id      uint64
	changes uint64
	// oldestBase is the number of changes before which removals are no longer known.
	oldestBase uint64
	entries    map[string]listEntry
	// removed has the number of the change that removed a name.
	removed map[string]uint64
}

type listEntry struct {
	info Info
	// updatedAt and configuredAt are the numbers of the changes that last changed the state, or
	// just the configuration.
	updatedAt    uint64
	configuredAt uint64
}

// Set replaces the list; states that are equivalent to the known ones count as no change.
func (l *VersionedList) Set(nodes []Info) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == 0 {
		l.id, l.entries, l.removed = rand.Uint64()|1, map[string]listEntry{}, map[string]uint64{}
	}
	isListed := make(map[string]bool, len(nodes))
	for _, node := range nodes {
		isListed[node.Name] = true
		l.setNode(node)
	}
	for name := range l.entries {
		if !isListed[name] {
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

// Since returns what came after a version: the entire list where that version is of another list or
// too old.
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
