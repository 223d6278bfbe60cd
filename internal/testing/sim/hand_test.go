package sim

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAScriptedClientIsNeverPaused draws who is to rest again and again while scripted visitors
// come in.
func TestAScriptedClientIsNeverPaused(t *testing.T) {
	runSessions(t, smallSite, 950, backgroundLoad, 10, func(t *testing.T, w *World, _ *LineClients) {
		const hands = 64
		g := w.StartLineClients(0, backgroundLoad)
		var wg sync.WaitGroup
		for range hands {
			wg.Go(func() {
				h := g.Scripted("a1", "scripted")
				if assert.Check(t, h != nil, "not let in") {
					h.End()
				}
			})
		}
		r := rand.New(rand.NewPCG(950, 0))
		for in := func() int { g.mu.Lock(); defer g.mu.Unlock(); return g.entered }; in() < hands; {
			g.draw(r)
		}
		wg.Wait()
	})
}
