package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/testing/httpclient"
	"postjunction/internal/testing/simclient"
)

// Move has a share of the callers leave their nodes at once and come back through others, as
// clients that change zones do.
func (w *World) MoveClients(share float64) {
	w.recordDisturbance("move")
	w.mu.Lock()
	clients := w.httpClients
	w.mu.Unlock()
	for _, c := range clients {
		if w.randomFloat() < share {
			c.Move()
		}
	}
}

// Arrive has more callers attach at once; they stay.
func (w *World) AddClients(count int) {
	w.recordDisturbance("arrive")
	w.mu.Lock()
	existing := len(w.httpClients)
	w.mu.Unlock()
	load := w.load
	load.HTTPClients = count
	w.runHTTPClients(PlanHTTPClients(load, w.Seed+uint64(existing), w.Site.Timing.Spread), fmt.Sprintf("late%d-", existing))
}

// Load says how many callers there are and how often they send.
type Load struct {
	HTTPClients, Topics, LiveTopics, UrgentSenders int
	// Flood is how many topics nobody follows there are for floods.
	FloodTopics int
	// SessionTopics is how many kept topics there are for clients on line sessions alone.
	SessionTopics int
	SendInterval  time.Duration
	// Rested has no client stop reading for a while.
	NoPauses bool
	// Habits changes those of clients; nil for none.
	Habits func(h *simclient.Habits)
}

// Describe writes the description of a load on a base.
func (l Load) Configuration(base uint64) []byte {
	list := func(prefix string, n int) string {
		names := ""
		for i := range n {
			if i > 0 {
				names += ","
			}
			names += fmt.Sprintf(`"%s%d"`, prefix, i)
		}
		return names
	}
	kept := list("t", l.Topics)
	if l.SessionTopics > 0 {
		kept += "," + list("v", l.SessionTopics)
	}
	flood := ""
	if l.FloodTopics > 0 {
		flood = fmt.Sprintf(`,{"name":"flood","kind":"kept","topics":[%s]}`, list("f", l.FloodTopics))
	}
	return []byte(fmt.Sprintf(
		`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":[%s]},{"name":"stop","kind":"kept",`+
			`"urgent":true,"topics":["line"]},{"name":"live","kind":"live","topics":[%s]}%s]}`,
		base, kept, list("l", l.LiveTopics), flood))
}

// Numbered makes the description under a number of its operator's own, with its source.
func (l Load) NumberedConfiguration(base, sequence uint64, source string) []byte {
	return []byte(fmt.Sprintf(`{"sequence":%d,"source":%q,%s`, sequence, source, l.Configuration(base)[1:]))
}

// Callers starts the stand-in callers.
func (w *World) StartHTTPClients(load Load) {
	w.load = load
	w.sendCtx, w.stopSending = context.WithCancel(w.ctx)
	w.runHTTPClients(PlanHTTPClients(load, w.Seed, w.Site.Timing.Spread), "")
}

func (w *World) runHTTPClients(clients []*httpclient.Caller, prefix string) {
	for _, c := range clients {
		c.Name = prefix + c.Name
		c.Clock, c.Ports, c.History = clock.Real{}, w.ReadyTransports, w.History
		w.wg.Go(func() { c.Run(w.ctx, w.sendCtx) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.httpClients = append(w.httpClients, clients...)
}

// Plan makes the callers of a load; who sends and follows what depends only on the seed.
func PlanHTTPClients(load Load, seed uint64, spread time.Duration) []*httpclient.Caller {
	rng := rand.New(rand.NewPCG(seed, 2))
	var clients []*httpclient.Caller
	for i := range load.HTTPClients {
		c := &httpclient.Caller{Name: fmt.Sprintf("v%d", i), Every: load.SendInterval,
			Rand: rand.New(rand.NewPCG(seed, uint64(i)+10)), Spread: spread, Urgent: map[string]bool{}, Live: map[string]bool{}}
		first := i % load.Topics
		c.Follows = []string{fmt.Sprintf("kept/t%d", first), fmt.Sprintf("kept/t%d", (first+1+rng.IntN(max(1, load.Topics-1)))%load.Topics)}
		c.Sends = []string{fmt.Sprintf("kept/t%d", first)}
		if load.LiveTopics > 0 && i < 2*load.LiveTopics {
			t := fmt.Sprintf("live/l%d", i%load.LiveTopics)
			c.Live[t] = true
			c.Follows, c.Sends = append(c.Follows, t), append(c.Sends, t)
		}
		if i < 2*load.UrgentSenders {
			c.Urgent["stop/line"] = true
			c.Follows = append(c.Follows, "stop/line")
			if i < load.UrgentSenders {
				c.Sends = append(c.Sends, "stop/line")
			}
		}
		clients = append(clients, c)
	}
	return clients
}
