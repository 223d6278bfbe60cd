package sim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/client"
)

// A reader that takes a line every five seconds holds nobody up, and still gets every line in order
// once it reads on.
func TestSlowReaderDelaysNoOthers(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 41, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		slow, fast, from := attach(t, w, "a1", "slow"), attach(t, w, "a1", "fast"), attach(t, w, "c1", "from")
		const n = 200
		ctx, stop := context.WithCancel(w.ctx)
		listen := func(token string, pause time.Duration, got *[]uint64, worst *time.Duration, sent []time.Time) {
			_ = w.Port("a1").Follow(ctx, token, []string{"kept/t0"}, "", func(l client.Event) error {
				if l.Topic == "" {
					return nil
				}
				*got = append(*got, l.CallSeq)
				*worst = max(*worst, time.Since(sent[l.CallSeq]))
				if len(*got) < 4 {
					time.Sleep(pause)
				}
				return nil
			})
		}
		sent := make([]time.Time, n+1)
		var gotSlow, gotFast []uint64
		var worstSlow, worstFast time.Duration
		go listen(slow.Token, 5*time.Second, &gotSlow, &worstSlow, sent)
		go listen(fast.Token, 0, &gotFast, &worstFast, sent)
		time.Sleep(time.Second)
		for c := uint64(1); c <= n; c++ {
			sent[c] = time.Now()
			_, err := w.Port("c2").Send(w.ctx, from.Token, "kept/t0", c, []byte(fmt.Sprint(c)))
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		stop()
		time.Sleep(time.Second)
		assert.Equal(t, len(gotFast), n)
		assert.Equal(t, len(gotSlow), n)
		for i := range gotSlow {
			assert.Equal(t, gotSlow[i], uint64(i+1))
		}
		assert.Assert(t, worstSlow > 5*time.Second, "the slow reader was not slow")
		assert.Assert(t, worstFast < 100*time.Millisecond, "another reader waited %s", worstFast)
	})
}
