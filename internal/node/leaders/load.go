package leaders

import (
	"math"
	"time"
)

type sample struct {
	at     time.Time
	done   float64
	rate   float64
	epoch  uint64
	primed bool
}

const (
	bytesPerMessage = 1024
	loadSteps       = 10
)

// Loads gives what each partition owned here takes a second, in messages, with a kilobyte of bodies counted as one more. It is smoothed over the time
// in which a lost copy is waited for, so that a burst moves nothing.
func (k *Manager) Loads() map[int]float64 {
	now, tau := k.Clock.Now(), k.Timing.ReplacementDelay()
	m := map[int]float64{}
	for _, o := range k.all() {
		n, b := o.AcceptedTotals()
		done := float64(n) + float64(b)/bytesPerMessage
		k.mu.Lock()
		if k.loads == nil {
			k.loads = map[int]sample{}
		}
		s, p := k.loads[o.Record.Partition], o.Record.Partition
		switch d := now.Sub(s.at); {
		case s.epoch != o.Record.Epoch:
			s = sample{at: now, done: done, epoch: o.Record.Epoch}
		case d >= tau/loadSteps:
			r := (done - s.done) / d.Seconds()
			w := 1 - math.Exp(-d.Seconds()/tau.Seconds())
			if !s.primed {
				w = 1
			}
			s = sample{at: now, done: done, rate: s.rate + w*(r-s.rate), epoch: s.epoch, primed: true}
		}
		k.loads[p] = s
		k.mu.Unlock()
		if s.primed {
			m[p] = math.Round(s.rate*10) / 10
		}
	}
	return m
}
