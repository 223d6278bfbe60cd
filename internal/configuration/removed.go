package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"

	"postjunction/internal/apierror"
)

// MaxRemovedSpaces is how many removed spaces are listed individually.
const MaxRemovedSpaces = 4096

// RemovedSpaces holds the urgency of the spaces that were removed. The key of a space with listed
// topics is its name. The key of a space by prefix is "=" and the prefix. Once there are too many,
// the spaces that were not urgent are dropped, and the key "*" records that.
type RemovedSpaces map[string]bool

const (
	prefixMarker   = "="
	routineDropped = "*"
)

// removedKey returns the space's key in RemovedSpaces.
func (s Space) removedKey() string {
	if s.ByPrefix() {
		return prefixMarker + s.Prefix
	}
	return s.Name
}

// removedPath returns the path of the space with that key.
func removedPath(key string) string {
	if prefix, ok := strings.CutPrefix(key, prefixMarker); ok {
		return prefix
	}
	return key + "/"
}

// ParseRemovedSpaces reads the removed spaces. It returns none for empty input.
func ParseRemovedSpaces(b []byte) (RemovedSpaces, error) {
	r := RemovedSpaces{}
	if len(b) == 0 {
		return r, nil
	}
	return r, apierror.Wrap(apierror.Internal, json.Unmarshal(b, &r), "read the removed spaces")
}

// Marshal writes the removed spaces as JSON.
func (r RemovedSpaces) Marshal() []byte {
	b, _ := json.Marshal(r) // a map of booleans: it can't fail
	return b
}

type spaceUrgency struct {
	key    string
	urgent bool
}

// Check checks a configuration against the current one and all removed spaces. It adds the spaces
// that the configuration removes to r, and reports whether there were any. A space that is added
// again, or that shares topics with an earlier one, must have the urgency that the earlier one had.
// The error is apierror.ConfigurationInvalid with every fault.
func (r RemovedSpaces) Check(next, current Config) (bool, error) {
	messages := r.conflicts(next, current)
	var faults []apierror.Fault
	for i, space := range next.Spaces {
		if message, ok := messages[space.path()]; ok {
			faults = append(faults, apierror.Fault{Path: fmt.Sprintf("$.spaces[%d].urgent", i), Message: message})
		}
	}
	return r.add(next, current), FaultsError(append(faults, r.excessFaults()...))
}

// conflicts returns messages about spaces of next whose urgency is wrong, by the spaces' paths.
func (r RemovedSpaces) conflicts(next, current Config) map[string]string {
	var oldUrgencies, newUrgencies prefixMap[spaceUrgency]
	for key, urgent := range r {
		if key != routineDropped {
			oldUrgencies.add(removedPath(key), spaceUrgency{key, urgent})
		}
	}
	for _, space := range current.Spaces {
		oldUrgencies.add(space.path(), spaceUrgency{space.removedKey(), space.Urgent})
	}
	for _, space := range next.Spaces {
		newUrgencies.add(space.path(), spaceUrgency{space.removedKey(), space.Urgent})
	}
	messages := map[string]string{}
	compare := func(path string, old spaceUrgency, urgent bool) {
		if old.urgent != urgent {
			messages[path] = fmt.Sprintf(
				"of %q was %v before it was removed, and its lines stand there; make a new space",
				strings.TrimPrefix(old.key, prefixMarker), old.urgent)
		}
	}
	for path, space := range newUrgencies.values {
		known := false
		oldUrgencies.each(path, func(_ string, old spaceUrgency) bool {
			known = true
			compare(path, old, space.urgent)
			return true
		})
		if !known && space.urgent && r.has(routineDropped) {
			messages[path] = "can't be true in a new space: too many spaces were removed to know which were not urgent"
		}
	}
	for oldPath, old := range oldUrgencies.values {
		newUrgencies.each(oldPath, func(path string, space spaceUrgency) bool {
			compare(path, old, space.urgent)
			return true
		})
	}
	return messages
}

func (r RemovedSpaces) has(key string) bool {
	_, ok := r[key]
	return ok
}

// add adds the spaces that next removes from current, and reports whether there were any.
func (r RemovedSpaces) add(next, current Config) bool {
	remaining, added := map[string]bool{}, false
	for _, space := range next.Spaces {
		remaining[space.path()] = true
	}
	for _, space := range current.Spaces {
		key := space.removedKey()
		if r.has(key) || remaining[space.path()] || !space.Urgent && r.has(routineDropped) {
			continue
		}
		r[key], added = space.Urgent, true
	}
	if len(r) > MaxRemovedSpaces && !r.has(routineDropped) {
		maps.DeleteFunc(r, func(_ string, urgent bool) bool { return !urgent })
		r[routineDropped] = false
	}
	return added
}

func (r RemovedSpaces) excessFaults() []apierror.Fault {
	if len(r) <= MaxRemovedSpaces {
		return nil
	}
	return []apierror.Fault{{
		Path: "$.spaces",
		Message: fmt.Sprintf(
			"would make %d removed urgent spaces, at most %d can be recorded; keep some or add some again",
			len(r)-1, MaxRemovedSpaces-1),
	}}
}
