package sim

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAScriptedClientIsNeverPaused chooses clients to pause again and again while scripted clients
// connect.
func TestAScriptedClientIsNeverPaused(t *testing.T) {
	runSessions(t, smallSite, 950, backgroundLoad, 10, func(t *testing.T, w *World, _ *LineClients) {
		const clients = 64
		lineClients := w.StartLineClients(0, backgroundLoad)
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				client := lineClients.ConnectScripted("a1", "scripted")
				if assert.Check(t, client != nil, "could not connect") {
					client.End()
				}
			})
		}
		rng := rand.New(rand.NewPCG(950, 0))
		for sessionCount := func() int { lineClients.mu.Lock(); defer lineClients.mu.Unlock(); return lineClients.sessionCount }; sessionCount() < clients; {
			lineClients.pauseOne(rng)
		}
		wg.Wait()
	})
}
