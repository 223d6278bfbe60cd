package leaders

import (
	"math"
	"time"
)

const (
	// bytesPerMessage is how many bytes of bodies count as one additional message.
	bytesPerMessage = 1024
	// minSampleDivisor divides the smoothing time. The result is the shortest time that a sample
	// covers.
	minSampleDivisor = 10
)

// loadSample is the load of a partition at a time, under one epoch.
type loadSample struct {
	at time.Time
	// total is the load that the leader had accepted by then, rate its load per second, in
	// messages.
	total float64
	rate  float64
	epoch uint64
	// hasRate is true once the rate is known, which takes two samples.
	hasRate bool
}

// Loads returns the load per second of each partition that this node leads, in messages. A kilobyte
// of bodies counts as one additional message. The load is smoothed over the replacement delay, so
// that a burst doesn't cause partitions to be moved. A partition is left out until its rate is
// known.
func (m *Manager) Loads() map[int]float64 {
	now := m.Clock.Now()
	loads := map[int]float64{}
	for _, running := range m.running() {
		messages, bytes := running.AcceptedTotals()
		total := float64(messages) + float64(bytes)/bytesPerMessage
		id := running.Record.Partition
		sample := m.sampleLoad(id, running.Record.Epoch, total, now)
		if sample.hasRate {
			loads[id] = math.Round(sample.rate*10) / 10
		}
	}
	return loads
}

// sampleLoad updates the sample of a partition with its total.
func (m *Manager) sampleLoad(id int, epoch uint64, total float64, now time.Time) loadSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads = map[int]loadSample{}
	}
	m.loads[id] = m.loads[id].next(epoch, total, now, m.Timing.ReplacementDelay())
	return m.loads[id]
}

// next returns the sample that follows s, whose rate is smoothed over the time smoothing. It starts
// anew under another epoch, and returns s if too little time has passed.
func (s loadSample) next(epoch uint64, total float64, now time.Time, smoothing time.Duration) loadSample {
	elapsed := now.Sub(s.at)
	if s.epoch != epoch {
		return loadSample{at: now, total: total, epoch: epoch}
	}
	if elapsed < smoothing/minSampleDivisor {
		return s
	}
	rate := (total - s.total) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	if !s.hasRate {
		weight = 1
	}
	return loadSample{at: now, total: total, rate: s.rate + weight*(rate-s.rate), epoch: s.epoch, hasRate: true}
}
