package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"postjunction/internal/apierror"
)

// MaxRemovedSpaces is how many removed spaces are kept one by one.
const MaxRemovedSpaces = 4096

// RemovedSpaces holds the urgency of spaces that were removed: those of listed topics by name, those by prefix by "=" and the prefix.
// Where they became too many, those that were not urgent are left out, and "*" says so.
type RemovedSpaces map[string]bool

const (
	byPrefix = "="
	leftOut  = "*"
)

func (s Space) retired() string {
	if s.ByPrefix() {
		return byPrefix + s.Prefix
	}
	return s.Name
}

func retiredPath(key string) string {
	if p, ok := strings.CutPrefix(key, byPrefix); ok {
		return p
	}
	return key + "/"
}

// ParseRemovedSpaces reads the removed spaces.
func ParseRemovedSpaces(b []byte) (RemovedSpaces, error) {
	r := RemovedSpaces{}
	if len(b) == 0 {
		return r, nil
	}
	return r, apierror.Wrap(apierror.Internal, json.Unmarshal(b, &r), "read the removed spaces")
}

// Marshal writes the removed spaces.
func (r RemovedSpaces) Marshal() []byte {
	b, _ := json.Marshal(r)
	return b
}

type past struct {
	key    string
	urgent bool
}

// Check holds a description against the current one and all removed spaces, and adds those that it removes; it tells whether there were any.
// A space that comes back, or that shares topics with one that was there before, needs the urgency that these had.
func (r RemovedSpaces) Check(d, cur Config) (bool, error) {
	var before, after prefixes[past]
	for k, u := range r {
		if k != leftOut {
			before.add(retiredPath(k), past{k, u})
		}
	}
	for _, s := range cur.Spaces {
		before.add(s.path(), past{s.retired(), s.Urgent})
	}
	for _, s := range d.Spaces {
		after.add(s.path(), past{s.retired(), s.Urgent})
	}
	faults := map[string]string{}
	clash := func(at string, p past, urgent bool) {
		if p.urgent != urgent {
			faults[at] = fmt.Sprintf("of %q was %v before it was removed, and its lines stand there; make a new space", strings.TrimPrefix(p.key, byPrefix), p.urgent)
		}
	}
	for at, n := range after.by {
		known := false
		before.each(at, func(_ string, p past) bool {
			known = true
			clash(at, p, n.urgent)
			return true
		})
		if !known && n.urgent && r.has(leftOut) {
			faults[at] = "can't be true in a new space: too many spaces were removed to tell which were not urgent"
		}
	}
	for path, p := range before.by {
		after.each(path, func(at string, n past) bool {
			clash(at, p, n.urgent)
			return true
		})
	}
	var f []apierror.Fault
	for i, s := range d.Spaces {
		if say, ok := faults[s.path()]; ok {
			f = append(f, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].urgent", i), Message: say})
		}
	}
	return r.add(d, cur), FaultsError(append(f, r.full()...))
}

func (r RemovedSpaces) has(k string) bool {
	_, ok := r[k]
	return ok
}

func (r RemovedSpaces) add(d, cur Config) bool {
	stays, more := map[string]bool{}, false
	for _, s := range d.Spaces {
		stays[s.path()] = true
	}
	for _, s := range cur.Spaces {
		k := s.retired()
		if r.has(k) || stays[s.path()] || !s.Urgent && r.has(leftOut) {
			continue
		}
		r[k], more = s.Urgent, true
	}
	if len(r) > MaxRemovedSpaces && !r.has(leftOut) {
		maps.DeleteFunc(r, func(_ string, urgent bool) bool { return !urgent })
		r[leftOut] = false
	}
	return more
}

func (r RemovedSpaces) full() []apierror.Fault {
	if len(r) <= MaxRemovedSpaces {
		return nil
	}
	return []apierror.Fault{{Path: "$.spaces", Message: fmt.Sprintf("would make %d removed urgent spaces, %d can be kept; keep some or bring some back", len(r)-1, MaxRemovedSpaces-1)}}
}
