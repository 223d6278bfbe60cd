package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

func (w *World) countRequest(path string, size int) {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/postjunction."), "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callsByService[service]++
	traffic := w.trafficByPath[path]
	w.trafficByPath[path] = Traffic{traffic.Calls + 1, traffic.Bytes + size}
}

func (w *World) countResponse(path string, size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	traffic := w.trafficByPath[path]
	w.trafficByPath[path] = Traffic{traffic.Calls, traffic.Bytes + size}
}

func (w *World) countParticipants(point CallPoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callsByMachine[[2]string{point.From, point.Path}]++
	w.callsByMachine[[2]string{point.To, point.Path}]++
}

// CallsInvolving returns how many calls of a path a machine sent or received.
func (w *World) CallsInvolving(name, path string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.callsByMachine[[2]string{name, path}]
}

// Traffic is the traffic of a procedure: calls, and bytes of requests and responses without the
// overhead of the transport.
type Traffic struct{ Calls, Bytes int }

// TrafficByPath returns the traffic of each procedure between machines.
func (w *World) TrafficByPath() map[string]Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.trafficByPath)
}

// CallsByService returns how many calls between machines there were, by service.
func (w *World) CallsByService() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.callsByService)
}

func perSecond(before, after map[string]int, seconds int) string {
	var rates []string
	total := 0
	for service, count := range after {
		rate := (count - before[service]) / seconds
		total += rate
		rates = append(rates, fmt.Sprintf("%s %d", service, rate))
	}
	slices.Sort(rates)
	return fmt.Sprintf("%d calls a second (%s)", total, strings.Join(rates, ", "))
}
