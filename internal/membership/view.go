package membership

import (
	"slices"
	"sync"
)

// maxLastKnown is how many present and former members a View records before it discards the former
// ones.
const maxLastKnown = 1 << 13

// View is the list of members that a node received last.
type View struct {
	// mu guards members, byName and lastKnown.
	mu sync.Mutex
	// members is never changed in place, since All returns it.
	members []Info
	byName  map[string]Info
	// lastKnown has all present and former members, so that calls to a node don't depend on what
	// one control node knows.
	lastKnown map[string]Info
}

// NewView returns an empty view.
func NewView() *View { return &View{byName: map[string]Info{}, lastKnown: map[string]Info{}} }

// Set replaces the list. The caller must not change it afterwards.
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

// Add adds or replaces members. Members that added does not name remain.
func (v *View) Add(added []Info) {
	members, addedNames := slices.Clone(added), make(map[string]bool, len(added))
	for _, member := range added {
		addedNames[member.Name] = true
	}
	for _, member := range v.All() {
		if !addedNames[member.Name] {
			members = append(members, member)
		}
	}
	sortByName(members)
	v.Set(members)
}

// LastKnown returns a present or former member.
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

// Get returns a member.
func (v *View) Get(name string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	member, ok := v.byName[name]
	return member, ok
}
