// Package membership tracks the nodes of the fleet: a node is a member while its session with a
// control node is live.
//
// A control node records its own sessions and those of other control nodes in a Table. The list of
// all live members is a VersionedList, which is sent to the other nodes as changes (ListReplica)
// and becomes their View. The latest observation of a node always replaces earlier ones. Ages, not
// times, are sent between nodes, so no clocks are compared.
//
// Table, View and VersionedList each have a lock, held for memory operations only, and are safe for
// concurrent use. Nothing here blocks or starts a goroutine.
package membership

import (
	"maps"
	"slices"
	"strings"
)

// Stages of a node, as in Info.Stage. The value of Draining is the one that older builds use.
const (
	Serving  = "serving"
	Draining = "leaving"
)

// Info describes a node, as reported by the node itself.
type Info struct {
	Name       string `json:"name"`
	Zone       string `json:"zone"`
	ListenAddr string `json:"listen"`
	// PeerAddr is the address for calls of other nodes.
	PeerAddr string `json:"fellows"`
	// ClientAddr is the address that serves the line protocol of clients.
	ClientAddr  string `json:"visits,omitempty"`
	Disk        string `json:"disk"`
	Incarnation string `json:"incarnation,omitempty"`
	BootID      string `json:"boot"`
	Stage       string `json:"stage"`
	// Configuration is the sequence number of the node's configuration. Only control nodes are sent
	// it. The others are sent ConfigurationStale, which reports that the node has had an older
	// configuration than the confirmed one for longer than a lease.
	Configuration      uint64 `json:"description,omitempty"`
	ConfigurationStale bool   `json:"behind,omitempty"`
	// VoterSet is the sequence number of the voter set that the node knows. On a control node it is
	// the voter set that its disk is under.
	VoterSet   uint64 `json:"roster"`
	Partitions int    `json:"partitions"`
	// Loads is the rate of accepted messages for each partition led here, by partition, per second.
	Loads      map[int]float64 `json:"loads,omitempty"`
	DiskHealth string          `json:"fitness,omitempty"`
	// Isolated reports that the node's lease is not confirmed.
	Isolated     bool   `json:"deaf,omitempty"`
	BuildVersion string `json:"build,omitempty"`
	WireVersion  int    `json:"wire"`
	// LatencyMicros is the duration of this node's heartbeats in microseconds: the second shortest
	// of the last few. All that are far from slow are reported as one value.
	LatencyMicros int64 `json:"lag_us,omitempty"`
	// SupportsTwoHomes reports that this build stores attachments in an urgent partition too.
	SupportsTwoHomes bool `json:"homes,omitempty"`
	// SupportsKeys reports that this build supports message keys and withdrawals.
	SupportsKeys bool `json:"keys,omitempty"`
	// MilliCores is the processor capacity that the node has for clients, in thousandths of a core.
	// It is reduced where the node's link is the narrower limit. 0 means unknown.
	MilliCores int `json:"processor,omitempty"`
}

// Stable returns the part of an Info that all nodes are sent. It omits what changes all the time,
// which only control nodes are sent.
func (i Info) Stable() Info {
	i.Configuration, i.VoterSet, i.Partitions, i.Loads, i.LatencyMicros = 0, 0, 0, nil, 0
	return i
}

// DiffersMaterially reports whether two states of one node differ in a field that control nodes and
// placement act on.
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

// hasSameStable reports whether two states of one node agree in all fields that Stable retains, and
// in the voter set.
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

// Two values are near if they differ by at most the larger one divided by nearDivisor, or by at
// most minNearDifference.
const (
	nearDivisor       = 4
	minNearDifference = 1
)

func isNear(a, b float64) bool {
	difference, larger := a-b, max(a, b)
	return max(difference, -difference) <= max(larger/nearDivisor, minNearDifference)
}

// Filter returns the nodes that accept returns true for, in their order.
func Filter(nodes []Info, accept func(Info) bool) []Info {
	var accepted []Info
	for _, node := range nodes {
		if accept(node) {
			accepted = append(accepted, node)
		}
	}
	return accepted
}

func sortByName(nodes []Info) {
	slices.SortFunc(nodes, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
}
