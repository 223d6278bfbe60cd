package leaders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The rate is known from the second sample on and smoothed from the third on. It starts anew with
// each epoch.
func TestLoadSample_Next(t *testing.T) {
	const smoothing = 100 * time.Second
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	first := loadSample{}.next(4, 50, start, smoothing)
	assert.Equal(t, first, loadSample{at: start, total: 50, epoch: 4})

	tooSoon := first.next(4, 80, start.Add(smoothing/minSampleDivisor-1), smoothing)
	assert.Equal(t, tooSoon, first)

	second := first.next(4, 150, start.Add(10*time.Second), smoothing)
	assert.Assert(t, second.hasRate)
	assert.Equal(t, second.rate, 10.0)

	burst := second.next(4, 1150, start.Add(20*time.Second), smoothing)
	assert.Assert(t, burst.rate > 10 && burst.rate < 20, "%v", burst.rate)

	renewed := burst.next(5, 0, start.Add(30*time.Second), smoothing)
	assert.Equal(t, renewed, loadSample{at: start.Add(30 * time.Second), epoch: 5})
}
