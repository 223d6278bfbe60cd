package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

func (w *World) countRequest(path string, n int) {
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/postjunction."), "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[part]++
	f := w.flows[path]
	w.flows[path] = Flow{f.Calls + 1, f.Bytes + n}
}

func (w *World) countResponse(path string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[path]
	w.flows[path] = Flow{f.Calls, f.Bytes + n}
}

func (w *World) countParticipants(at Point) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parts[[2]string{at.From, at.Path}]++
	w.parts[[2]string{at.To, at.Path}]++
}

// Parts gives how many calls of a path a machine took part in, asking or asked.
func (w *World) Parts(n, path string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parts[[2]string{n, path}]
}

// Flow is what a procedure took: calls, and bytes of tasks and answers without what the transport
// adds.
type Flow struct{ Calls, Bytes int }

// Flows gives what each procedure took between machines.
func (w *World) Flows() map[string]Flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.flows)
}

// Calls gives how many calls between machines there were, by part.
func (w *World) Calls() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.calls)
}

func perSecond(a, b map[string]int, secs int) string {
	var ls []string
	all := 0
	for k, n := range b {
		d := (n - a[k]) / secs
		all += d
		ls = append(ls, fmt.Sprintf("%s %d", k, d))
	}
	slices.Sort(ls)
	return fmt.Sprintf("%d calls a second (%s)", all, strings.Join(ls, ", "))
}
