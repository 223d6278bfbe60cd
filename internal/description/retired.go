package description

import (
	"encoding/json"
	"fmt"

	"postjunction/internal/problem"
)

// RetiredMost is how many names of removed spaces are kept.
const RetiredMost = 4096

// Retired holds the urgency of spaces that were removed, by name.
type Retired map[string]bool

// ParseRetired reads the removed spaces.
func ParseRetired(b []byte) (Retired, error) {
	r := Retired{}
	if len(b) == 0 {
		return r, nil
	}
	return r, problem.Wrap(problem.Internal, json.Unmarshal(b, &r), "read the removed spaces")
}

// Pack writes the removed spaces.
func (r Retired) Pack() []byte {
	b, _ := json.Marshal(r)
	return b
}

// Check holds a description against the removed spaces and adds those that it removes from the current one; it tells whether there were any.
func (r Retired) Check(d, cur Description) (bool, error) {
	stays, was := map[string]bool{}, map[string]bool{}
	for _, s := range cur.Spaces {
		was[s.Name] = true
	}
	var f []problem.Fault
	for i, s := range d.Spaces {
		stays[s.Name] = true
		if u, ok := r[s.Name]; ok && u != s.Urgent && !was[s.Name] {
			f = append(f, problem.Fault{Place: fmt.Sprintf("$.spaces[%d].urgent", i), Say: fmt.Sprintf("of %q was %v before it was removed, and its lines stand there; make a new space", s.Name, u)})
		}
	}
	more := false
	for _, s := range cur.Spaces {
		if _, ok := r[s.Name]; !ok && !stays[s.Name] {
			r[s.Name], more = s.Urgent, true
		}
	}
	if len(r) > RetiredMost {
		f = append(f, problem.Fault{Place: "$.spaces", Say: fmt.Sprintf("would make %d names of removed spaces, %d can be kept; keep some or bring some back", len(r), RetiredMost)})
	}
	return more, bad(f)
}
