package nodelease

import (
	"slices"
	"time"

	"postjunction/internal/settings"
)

const (
	maxLatencies = 6
	// latencyRank picks the second shortest, since packets that are lost now and then don't make a
	// machine slow.
	latencyRank = 1
)

// latencyWindow holds the last few times that heartbeats took, oldest first.
type latencyWindow []time.Duration

func (l *latencyWindow) add(latency time.Duration) {
	*l = append(*l, latency)
	*l = (*l)[max(0, len(*l)-maxLatencies):]
}

// secondShortest returns the second shortest of the times, and false before there are enough.
func (l latencyWindow) secondShortest() (time.Duration, bool) {
	if len(l) < maxLatencies {
		return 0, false
	}
	return slices.Sorted(slices.Values(l))[latencyRank], true
}

// ReportedLatency returns the second shortest time of the last few heartbeats, 0 before there are
// enough. All times so short that a machine eight times slower would still not be slow count as the
// longest of them: nothing depends on which one it is, and each change that is reported goes to all
// control nodes.
func (m *Manager) ReportedLatency() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	latency, ok := m.attemptLatencies.secondShortest()
	if !ok {
		return 0
	}
	return max(latency, m.Settings.Timing().SlowThreshold()/settings.SlowFactor)
}

// UsualLatency returns the second shortest time of the last few answered heartbeats, and false
// before there are enough. Heartbeats without an answer don't count: it says how slow the
// connection is, not whether there is one.
func (m *Manager) UsualLatency() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredLatencies.secondShortest()
}
