package membership

import (
	"slices"
	"sync"
)

// maxLastKnown is how many nodes a View remembers that were members once, before it begins anew.
const maxLastKnown = 1 << 13

// View is the list of members as a node was last sent it.
type View struct {
	// mu guards all below.
	mu sync.Mutex
	// members is never changed in place, as All returns it.
	members []Info
	byName  map[string]Info
	// lastKnown has all that were members once, so that calls to a node don't depend on what one
	// control node knows.
	lastKnown map[string]Info
}

// NewView returns an empty view.
func NewView() *View { return &View{byName: map[string]Info{}, lastKnown: map[string]Info{}} }

// Set replaces the list, which the caller must not change after.
func (v *View) Set(members []Info) {
	byName := make(map[string]Info, len(members))
	for _, member := range members {
		byName[member.Name] = member
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members, v.byName = members, byName
	if len(v.lastKnown) > maxLastKnown {
		v.lastKnown = map[string]Info{}
	}
	for name, member := range byName {
		v.lastKnown[name] = member
	}
}

// Add takes members in and keeps those that the list does not name.
func (v *View) Add(added []Info) {
	members, isAdded := slices.Clone(added), make(map[string]bool, len(added))
	for _, member := range added {
		isAdded[member.Name] = true
	}
	for _, member := range v.All() {
		if !isAdded[member.Name] {
			members = append(members, member)
		}
	}
	sortByName(members)
	v.Set(members)
}

// LastKnown finds a member, or a node that was one once.
func (v *View) LastKnown(name string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	member, ok := v.lastKnown[name]
	return member, ok
}

// All returns the members. The caller must not change the list.
func (v *View) All() []Info {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

// Get finds a member.
func (v *View) Get(name string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	member, ok := v.byName[name]
	return member, ok
}
