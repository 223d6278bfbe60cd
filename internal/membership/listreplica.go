package membership

import (
	"maps"
	"slices"
)

// ListReplica is the copy of a VersionedList on another node. It is not safe for concurrent use.
// The zero value is ready for use.
type ListReplica struct {
	version Version
	nodes   map[string]Info
}

// Version returns the version that the replica has reached.
func (r *ListReplica) Version() Version { return r.version }

// Apply applies a change, and reports whether the replica is now as new as the change. A change
// that is older, or that builds on a version which the replica doesn't have, is ignored.
func (r *ListReplica) Apply(change Change) bool {
	isSameList := change.Version.List == r.version.List
	isOlder := isSameList && change.Version.Changes < r.version.Changes
	switch {
	case change.Version.List == 0 || isOlder:
		return false
	case change.Complete:
		r.nodes = make(map[string]Info, len(change.Updated))
	case !isSameList || change.Base > r.version.Changes:
		return false
	}
	for _, name := range change.Removed {
		delete(r.nodes, name)
	}
	for _, node := range change.Updated {
		r.nodes[node.Name] = node
	}
	for name, configuration := range change.ConfigurationOnly {
		if node, ok := r.nodes[name]; ok {
			node.Configuration = configuration
			r.nodes[name] = node
		}
	}
	r.version = change.Version
	return true
}

// All returns the nodes of the replica, sorted by name.
func (r *ListReplica) All() []Info {
	nodes := slices.AppendSeq(make([]Info, 0, len(r.nodes)), maps.Values(r.nodes))
	sortByName(nodes)
	return nodes
}
