// Package membership knows the nodes of the fleet: a node is a member while its session with a
// control node stands.
//
// A control node keeps the sessions that it and other control nodes have in a Table; the list of
// all live ones is a VersionedList, which goes to the other nodes by its changes (ListReplica) and
// is there the View. What was heard later always stands over what was heard before, and ages, not
// times, go between nodes, so no clocks are compared.
//
// Table, View and VersionedList have a lock of their own, held over memory only, and may be used by
// several goroutines; nothing here blocks or runs in a goroutine of its own.
package membership

import (
	"maps"
	"slices"
	"strings"
)

// Stages of a node, as in Info.Stage. The value of Draining is that of older builds.
const (
	Serving  = "serving"
	Draining = "leaving"
)

// Info is what a node says of itself.
type Info struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	ListenAddr string `json:"listen"`
	// PeerAddr is where other nodes reach it.
	PeerAddr string `json:"fellows"`
	// ClientAddr is where the line protocol of clients is served.
	ClientAddr  string `json:"visits,omitempty"`
	Disk        string `json:"disk"`
	Incarnation string `json:"incarnation,omitempty"`
	BootID      string `json:"boot"`
	Stage       string `json:"stage"`
	// Configuration is the sequence of the configuration that the node has. Only control nodes are
	// sent it; the others are sent ConfigurationStale, which says that the node has had an older
	// one than is confirmed for longer than a lease.
	Configuration      uint64 `json:"description,omitempty"`
	ConfigurationStale bool   `json:"behind,omitempty"`
	// VoterSet is the sequence of the voter set that the node knows; on a control node, that its
	// disk is under.
	VoterSet   uint64 `json:"roster"`
	Partitions int    `json:"partitions"`
	// Loads is what each partition led here accepts a second.
	Loads        map[int]float64 `json:"loads,omitempty"`
	DiskHealth   string          `json:"fitness,omitempty"`
	Isolated     bool            `json:"deaf,omitempty"`
	BuildVersion string          `json:"build,omitempty"`
	WireVersion  int             `json:"wire"`
	// LatencyMicros is how long this node's heartbeats take, in microseconds: the second shortest
	// of the last few. All that are far from slow are reported as one value.
	LatencyMicros int64 `json:"lag_us,omitempty"`
	// SupportsTwoHomes says that this build keeps attachments in an urgent partition too.
	SupportsTwoHomes bool `json:"homes,omitempty"`
	// SupportsKeys says that this build knows keys of messages and their withdrawal.
	SupportsKeys bool `json:"keys,omitempty"`
	// MilliCores is the processor that the node has for clients, in thousandths of a core, less
	// where its link is narrow beside it; 0 when that isn't known.
	MilliCores int `json:"processor,omitempty"`
}

// Stable returns what all nodes are sent of a node: without what changes all the time, which goes
// to control nodes only.
func (i Info) Stable() Info {
	i.Configuration, i.VoterSet, i.Partitions, i.Loads, i.LatencyMicros = 0, 0, 0, nil, 0
	return i
}

// DiffersMaterially reports whether two states of one node differ in what control and placement act
// on.
func (i Info) DiffersMaterially(other Info) bool {
	return i.BootID != other.BootID ||
		i.Disk != other.Disk ||
		i.Incarnation != other.Incarnation ||
		i.Stage != other.Stage ||
		i.DiskHealth != other.DiskHealth ||
		i.Isolated != other.Isolated ||
		i.PeerAddr != other.PeerAddr ||
		i.VoterSet != other.VoterSet
}

// EquivalentTo reports whether the state of a node is so close to an older one that it need not be
// sent.
func (i Info) EquivalentTo(other Info) bool {
	return i.hasSameStable(other) &&
		i.Configuration == other.Configuration &&
		i.Partitions == other.Partitions &&
		isNear(float64(i.LatencyMicros), float64(other.LatencyMicros)) &&
		maps.EqualFunc(i.Loads, other.Loads, isNear)
}

// hasSameStable reports whether two states of one node are the same in all that Stable keeps, and
// under the same voter set.
func (i Info) hasSameStable(other Info) bool {
	return !i.DiffersMaterially(other) &&
		i.ConfigurationStale == other.ConfigurationStale &&
		i.Name == other.Name &&
		i.Zone == other.Zone &&
		i.ListenAddr == other.ListenAddr &&
		i.ClientAddr == other.ClientAddr &&
		i.BuildVersion == other.BuildVersion &&
		i.WireVersion == other.WireVersion &&
		i.SupportsTwoHomes == other.SupportsTwoHomes &&
		i.SupportsKeys == other.SupportsKeys &&
		i.MilliCores == other.MilliCores
}

// Figures are near when they differ by a nearDivisor-th of the larger one, or by minNearDifference.
const (
	nearDivisor       = 4
	minNearDifference = 1
)

func isNear(a, b float64) bool {
	difference, larger := a-b, max(a, b)
	return max(difference, -difference) <= max(larger/nearDivisor, minNearDifference)
}

// Filter returns the nodes that keep accepts, in their order.
func Filter(nodes []Info, keep func(Info) bool) []Info {
	var kept []Info
	for _, node := range nodes {
		if keep(node) {
			kept = append(kept, node)
		}
	}
	return kept
}

func sortByName(nodes []Info) {
	slices.SortFunc(nodes, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
}
