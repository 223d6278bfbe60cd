package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Lasting gives what all nodes are told of a node, without what moves all the time: that goes to control nodes only.
func (i Info) Lasting() Info {
	i.Description, i.Roster, i.Partitions, i.Loads, i.Lag = 0, 0, 0, nil, 0
	return i
}

// same tells whether two sayings of one node are alike in all that Lasting keeps.
func (i Info) same(k Info) bool {
	return !i.Differs(k) && i.Behind == k.Behind && i.Name == k.Name && i.Zone == k.Zone && i.Listen == k.Listen && i.Visits == k.Visits && i.Build == k.Build && i.Wire == k.Wire && i.Homes == k.Homes && i.Keys == k.Keys && i.Processor == k.Processor
}

// Alike tells whether a saying is near enough to an older one that it need not be told.
func (i Info) Alike(k Info) bool {
	return i.same(k) && i.Description == k.Description && i.Partitions == k.Partitions && near(float64(i.Lag), float64(k.Lag)) &&
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

// Mark is a place in the story of a roll: which roll it is, and how many changes there were. The zero mark stands before all.
type Mark struct {
	Run uint64 `json:"r,omitempty"`
	To  uint64 `json:"t,omitempty"`
}

// Change is what came to a roll after a mark: sayings that are new, nodes that only have another description, and names that are gone.
// Whole says that it is all there is.
type Change struct {
	Mark  Mark     `json:"m"`
	Base  uint64   `json:"b,omitempty"`
	Whole bool     `json:"w,omitempty"`
	News  []Info   `json:"n,omitempty"`
	Gone  []string `json:"g,omitempty"`
	// Moved has the descriptions of nodes of which nothing else changed.
	Moved map[string]uint64 `json:"d,omitempty"`
}

// Empty tells whether there is nothing new.
func (c Change) Empty() bool {
	return !c.Whole && len(c.News) == 0 && len(c.Gone) == 0 && len(c.Moved) == 0
}

const goneMost = 1 << 10

type entry struct {
	info  Info
	at    uint64
	moved uint64
}

// Roll is a list of nodes that tells its changes.
type Roll struct {
	mu    sync.Mutex
	run   uint64
	to    uint64
	floor uint64
	m     map[string]entry
	gone  map[string]uint64
}

// Set replaces the list; sayings that are alike count as no change.
func (r *Roll) Set(is []Info) {
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
		was.Description = i.Description
		switch {
		case !ok || !i.Alike(was):
			r.to++
			r.m[i.Name] = entry{info: i, at: r.to}
			delete(r.gone, i.Name)
		case i.Description != e.info.Description:
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
func (r *Roll) Since(k Mark) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Change{Mark: Mark{r.run, r.to}, Base: k.To}
	if c.Whole = k.Run != r.run || k.To < r.floor || k.To > r.to; c.Whole {
		c.Base = 0
	} else if k.To == r.to {
		return c
	}
	for n, e := range r.m {
		switch {
		case c.Whole || e.at > c.Base:
			c.News = append(c.News, e.info)
		case e.moved > c.Base:
			if c.Moved == nil {
				c.Moved = map[string]uint64{}
			}
			c.Moved[n] = e.info.Description
		}
	}
	for n, at := range r.gone {
		if !c.Whole && at > c.Base {
			c.Gone = append(c.Gone, n)
		}
	}
	byName(c.News)
	return c
}

func byName(is []Info) {
	slices.SortFunc(is, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
}

// Copy is a roll as another node was told of it. It isn't for use from several goroutines.
type Copy struct {
	mark Mark
	m    map[string]Info
}

// Mark says how far the copy goes.
func (c *Copy) Mark() Mark { return c.mark }

// Take takes a change in, and tells whether the copy is now as new as the change; one that builds on what is not here is left.
func (c *Copy) Take(x Change) bool {
	old := x.Mark.Run == c.mark.Run && x.Mark.To < c.mark.To
	switch {
	case x.Mark.Run == 0 || old:
		return false
	case x.Whole:
		c.m = make(map[string]Info, len(x.News))
	case x.Mark.Run != c.mark.Run || x.Base > c.mark.To:
		return false
	}
	for _, n := range x.Gone {
		delete(c.m, n)
	}
	for _, i := range x.News {
		c.m[i.Name] = i
	}
	for n, d := range x.Moved {
		if i, ok := c.m[n]; ok {
			i.Description = d
			c.m[n] = i
		}
	}
	c.mark = x.Mark
	return true
}

// All gives the nodes of the copy by name.
func (c *Copy) All() []Info {
	is := slices.AppendSeq(make([]Info, 0, len(c.m)), maps.Values(c.m))
	byName(is)
	return is
}

// Story is what one control node tells another of its sessions: what changed, and how long ago all of them were heard at most, save those that are late.
type Story struct {
	Change Change                   `json:"c"`
	Age    time.Duration            `json:"a,omitempty"`
	Late   map[string]time.Duration `json:"l,omitempty"`
}
