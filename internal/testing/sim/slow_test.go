package sim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client"
)

// A client that reads one line every five seconds delays no others. It gets every line in order
// once it reads at full speed.
func TestSlowReaderDelaysNoOthers(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 41, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		slow, fast, from := attach(t, w, "a1", "slow"), attach(t, w, "a1", "fast"), attach(t, w, "c1", "from")
		const count = 200
		ctx, stop := context.WithCancel(w.ctx)
		listen := func(token string, pause time.Duration, got *[]uint64, worst *time.Duration, sent []time.Time) {
			_ = w.Transport("a1").Follow(ctx, token, []string{"kept/t0"}, "", func(event client.Event) error {
				if event.Topic == "" {
					return nil
				}
				*got = append(*got, event.CallSeq)
				*worst = max(*worst, time.Since(sent[event.CallSeq]))
				if len(*got) < 4 {
					time.Sleep(pause)
				}
				return nil
			})
		}
		sent := make([]time.Time, count+1)
		var gotSlow, gotFast []uint64
		var worstSlow, worstFast time.Duration
		var listeners sync.WaitGroup
		listeners.Go(func() { listen(slow.Token, 5*time.Second, &gotSlow, &worstSlow, sent) })
		listeners.Go(func() { listen(fast.Token, 0, &gotFast, &worstFast, sent) })
		time.Sleep(time.Second)
		for c := uint64(1); c <= count; c++ {
			sent[c] = time.Now()
			_, err := w.Transport("c2").Send(w.ctx, from.Token, "kept/t0", c, []byte(fmt.Sprint(c)))
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		stop()
		listeners.Wait()
		assert.Equal(t, len(gotFast), count)
		assert.Equal(t, len(gotSlow), count)
		for i := range gotSlow {
			assert.Equal(t, gotSlow[i], uint64(i+1))
		}
		assert.Assert(t, worstSlow > 5*time.Second, "the slow reader was not slow")
		assert.Assert(t, worstFast < 100*time.Millisecond, "another reader waited %s", worstFast)
	})
}
