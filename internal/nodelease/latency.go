package nodelease

import (
	"slices"
	"time"

	"postjunction/internal/settings"
)

const (
	maxLatencies = 6
	// latencyRank selects the second shortest, since occasional packet loss does not make a machine
	// slow.
	latencyRank = 1
)

// latencyWindow has the durations of the last few heartbeats, oldest first.
type latencyWindow []time.Duration

func (l *latencyWindow) add(latency time.Duration) {
	*l = append(*l, latency)
	*l = (*l)[max(0, len(*l)-maxLatencies):]
}

// secondShortest returns the second shortest duration, and false until there are enough.
func (l latencyWindow) secondShortest() (time.Duration, bool) {
	if len(l) < maxLatencies {
		return 0, false
	}
	return slices.Sorted(slices.Values(l))[latencyRank], true
}

// ReportedLatency returns the second shortest duration of the last few heartbeats, 0 until there
// are enough. A duration so short that a machine eight times slower would still not be slow is
// reported as the longest such duration. Nothing depends on the exact value, and each change that
// is reported goes to all control nodes.
func (m *Manager) ReportedLatency() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	latency, ok := m.attemptLatencies.secondShortest()
	if !ok {
		return 0
	}
	return max(latency, m.Settings.Timing().SlowThreshold()/settings.SlowFactor)
}

// UsualLatency returns the second shortest duration of the last few answered heartbeats, and false
// until there are enough. Heartbeats without an answer don't count, since this measures how slow
// the connection is, not whether there is one.
func (m *Manager) UsualLatency() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredLatencies.secondShortest()
}
