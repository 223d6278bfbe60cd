package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Stable gives what all nodes are told of a node, without what moves all the time: that goes to control nodes only.
func (i Info) Stable() Info {
	i.Configuration, i.VoterSet, i.Partitions, i.Loads, i.LatencyMicros = 0, 0, 0, nil, 0
	return i
}

// same tells whether two sayings of one node are alike in all that Lasting keeps.
func (i Info) same(k Info) bool {
	return !i.DiffersMaterially(k) && i.ConfigurationStale == k.ConfigurationStale && i.Name == k.Name && i.Zone == k.Zone && i.ListenAddr == k.ListenAddr && i.ClientAddr == k.ClientAddr && i.BuildVersion == k.BuildVersion && i.WireVersion == k.WireVersion && i.SupportsTwoHomes == k.SupportsTwoHomes && i.SupportsKeys == k.SupportsKeys && i.MilliCores == k.MilliCores
}

// EquivalentTo tells whether a saying is near enough to an older one that it need not be told.
func (i Info) EquivalentTo(k Info) bool {
	return i.same(k) && i.Configuration == k.Configuration && i.Partitions == k.Partitions && near(float64(i.LatencyMicros), float64(k.LatencyMicros)) &&
		maps.EqualFunc(i.Loads, k.Loads, near)
}

const (
	nearShare = 4
	nearLeast = 1
)

// near tells whether a figure is within a quarter of another one.
func near(a, b float64) bool {
	d, m := a-b, max(a, b)
	return max(d, -d) <= max(m/nearShare, nearLeast)
}

// Version is a place in the story of a roll: which roll it is, and how many changes there were. The zero mark stands before all.
type Version struct {
	List    uint64 `json:"r,omitempty"`
	Changes uint64 `json:"t,omitempty"`
}

// Change is what came to a roll after a mark: sayings that are new, nodes that only have another description, and names that are gone.
// Whole says that it is all there is.
type Change struct {
	Version  Version  `json:"m"`
	Base     uint64   `json:"b,omitempty"`
	Complete bool     `json:"w,omitempty"`
	Updated  []Info   `json:"n,omitempty"`
	Removed  []string `json:"g,omitempty"`
	// ConfigurationOnly has the descriptions of nodes of which nothing else changed.
	ConfigurationOnly map[string]uint64 `json:"d,omitempty"`
}

// Empty tells whether there is nothing new.
func (c Change) Empty() bool {
	return !c.Complete && len(c.Updated) == 0 && len(c.Removed) == 0 && len(c.ConfigurationOnly) == 0
}

const goneMost = 1 << 10

type entry struct {
	info  Info
	at    uint64
	moved uint64
}

// VersionedList is a list of nodes that tells its changes.
type VersionedList struct {
	mu    sync.Mutex
	run   uint64
	to    uint64
	floor uint64
	m     map[string]entry
	gone  map[string]uint64
}

// Set replaces the list; sayings that are alike count as no change.
func (r *VersionedList) Set(is []Info) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.run == 0 {
		r.run, r.m, r.gone = rand.Uint64()|1, map[string]entry{}, map[string]uint64{}
	}
	have := make(map[string]bool, len(is))
	for _, i := range is {
		have[i.Name] = true
		e, ok := r.m[i.Name]
		was := e.info
		was.Configuration = i.Configuration
		switch {
		case !ok || !i.EquivalentTo(was):
			r.to++
			r.m[i.Name] = entry{info: i, at: r.to}
			delete(r.gone, i.Name)
		case i.Configuration != e.info.Configuration:
			r.to++
			r.m[i.Name] = entry{was, e.at, r.to}
		}
	}
	for n := range r.m {
		if !have[n] {
			r.to++
			r.gone[n] = r.to
			delete(r.m, n)
		}
	}
	if len(r.gone) > goneMost {
		clear(r.gone)
		r.floor = r.to
	}
}

// Since gives what came after a mark.
func (r *VersionedList) Since(k Version) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Change{Version: Version{r.run, r.to}, Base: k.Changes}
	if c.Complete = k.List != r.run || k.Changes < r.floor || k.Changes > r.to; c.Complete {
		c.Base = 0
	} else if k.Changes == r.to {
		return c
	}
	for n, e := range r.m {
		switch {
		case c.Complete || e.at > c.Base:
			c.Updated = append(c.Updated, e.info)
		case e.moved > c.Base:
			if c.ConfigurationOnly == nil {
				c.ConfigurationOnly = map[string]uint64{}
			}
			c.ConfigurationOnly[n] = e.info.Configuration
		}
	}
	for n, at := range r.gone {
		if !c.Complete && at > c.Base {
			c.Removed = append(c.Removed, n)
		}
	}
	byName(c.Updated)
	return c
}

func byName(is []Info) {
	slices.SortFunc(is, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
}

// ListReplica is a roll as another node was told of it. It isn't for use from several goroutines.
type ListReplica struct {
	mark Version
	m    map[string]Info
}

// Version says how far the copy goes.
func (c *ListReplica) Version() Version { return c.mark }

// Apply takes a change in, and tells whether the copy is now as new as the change; one that builds on what is not here is left.
func (c *ListReplica) Apply(x Change) bool {
	old := x.Version.List == c.mark.List && x.Version.Changes < c.mark.Changes
	switch {
	case x.Version.List == 0 || old:
		return false
	case x.Complete:
		c.m = make(map[string]Info, len(x.Updated))
	case x.Version.List != c.mark.List || x.Base > c.mark.Changes:
		return false
	}
	for _, n := range x.Removed {
		delete(c.m, n)
	}
	for _, i := range x.Updated {
		c.m[i.Name] = i
	}
	for n, d := range x.ConfigurationOnly {
		if i, ok := c.m[n]; ok {
			i.Configuration = d
			c.m[n] = i
		}
	}
	c.mark = x.Version
	return true
}

// All gives the nodes of the copy by name.
func (c *ListReplica) All() []Info {
	is := slices.AppendSeq(make([]Info, 0, len(c.m)), maps.Values(c.m))
	byName(is)
	return is
}

// SessionUpdate is what one control node tells another of its sessions: what changed, and how long ago all of them were heard at most, save those that are late.
type SessionUpdate struct {
	Change Change                   `json:"c"`
	Age    time.Duration            `json:"a,omitempty"`
	Late   map[string]time.Duration `json:"l,omitempty"`
}
