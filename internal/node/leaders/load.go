package leaders

import (
	"math"
	"time"
)

const (
	// bytesPerMessage is how many bytes of bodies count as one more message.
	bytesPerMessage = 1024
	// minSampleFraction is the divisor of the smoothing time that a sample covers at least.
	minSampleFraction = 10
)

// loadSample is the load of a partition as of a time, under one epoch.
type loadSample struct {
	at time.Time
	// total is what the leader had accepted by then, rate what it accepts a second, in messages.
	total float64
	rate  float64
	epoch uint64
	// hasRate reports whether the rate is known, which takes two samples.
	hasRate bool
}

// Loads returns what each partition led here accepts a second, in messages, with a kilobyte of
// bodies counted as one more. It is smoothed over the replacement delay, so that a burst moves
// nothing. A partition is left out until its rate is known.
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

// sampleLoad takes the total of a partition into its sample.
func (m *Manager) sampleLoad(id int, epoch uint64, total float64, now time.Time) loadSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads = map[int]loadSample{}
	}
	m.loads[id] = m.loads[id].next(epoch, total, now, m.Timing.ReplacementDelay())
	return m.loads[id]
}

// next returns the sample that follows, smoothed over a time: a new one under another epoch, and
// the same one if too little time has passed.
func (s loadSample) next(epoch uint64, total float64, now time.Time, smoothing time.Duration) loadSample {
	elapsed := now.Sub(s.at)
	if s.epoch != epoch {
		return loadSample{at: now, total: total, epoch: epoch}
	}
	if elapsed < smoothing/minSampleFraction {
		return s
	}
	rate := (total - s.total) / elapsed.Seconds()
	weight := 1 - math.Exp(-elapsed.Seconds()/smoothing.Seconds())
	if !s.hasRate {
		weight = 1
	}
	return loadSample{at: now, total: total, rate: s.rate + weight*(rate-s.rate), epoch: s.epoch, hasRate: true}
}
