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

// MoveClients makes a share of the HTTP clients leave their nodes at once and come back through
// others, as clients that change zones do.
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

// AddClients makes more HTTP clients attach at once. They remain until the end.
func (w *World) AddClients(count int) {
	w.recordDisturbance("arrive")
	w.mu.Lock()
	existing := len(w.httpClients)
	w.mu.Unlock()
	load := w.load
	load.HTTPClients = count
	w.runHTTPClients(PlanHTTPClients(load, w.Seed+uint64(existing), w.Site.Timing.Spread),
		fmt.Sprintf("late%d-", existing))
}

// Load describes how many clients there are and how often they send.
type Load struct {
	HTTPClients, Topics, LiveTopics, UrgentSenders int
	// FloodTopics is the number of topics for floods. They have no subscribers.
	FloodTopics int
	// SessionTopics is the number of kept topics for clients on line sessions alone.
	SessionTopics int
	SendInterval  time.Duration
	// NoPauses keeps every client reading without pauses.
	NoPauses bool
	// Habits changes the timing of clients. It may be nil.
	Habits func(h *simclient.Habits)
}

// Configuration returns the configuration document of a load. Its base is the sequence number of
// the configuration that it replaces.
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

// NumberedConfiguration returns the configuration document under a sequence number that its
// operator chose, with its source.
func (l Load) NumberedConfiguration(base, sequence uint64, source string) []byte {
	return []byte(fmt.Sprintf(`{"sequence":%d,"source":%q,%s`, sequence, source, l.Configuration(base)[1:]))
}

// StartHTTPClients starts the simulated HTTP clients.
func (w *World) StartHTTPClients(load Load) {
	w.load = load
	w.sendCtx, w.stopSending = context.WithCancel(w.ctx)
	w.runHTTPClients(PlanHTTPClients(load, w.Seed, w.Site.Timing.Spread), "")
}

func (w *World) runHTTPClients(clients []*httpclient.Client, prefix string) {
	for _, c := range clients {
		c.Name = prefix + c.Name
		c.Clock, c.Transports, c.History = clock.Real{}, w.ReadyTransports, w.History
		w.wg.Go(func() { c.Run(w.ctx, w.sendCtx) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.httpClients = append(w.httpClients, clients...)
}

// PlanHTTPClients makes the HTTP clients of a load. Their topics depend on the load and the seed
// alone.
func PlanHTTPClients(load Load, seed uint64, spread time.Duration) []*httpclient.Client {
	rng := rand.New(rand.NewPCG(seed, 2))
	var clients []*httpclient.Client
	for i := range load.HTTPClients {
		client := &httpclient.Client{Name: fmt.Sprintf("v%d", i), SendInterval: load.SendInterval,
			Rand: rand.New(rand.NewPCG(seed, uint64(i)+10)), Spread: spread, Urgent: map[string]bool{}, Live: map[string]bool{}}
		first := i % load.Topics
		client.FollowTopics = []string{fmt.Sprintf("kept/t%d", first),
			fmt.Sprintf("kept/t%d", (first+1+rng.IntN(max(1, load.Topics-1)))%load.Topics)}
		client.SendTopics = []string{fmt.Sprintf("kept/t%d", first)}
		if load.LiveTopics > 0 && i < 2*load.LiveTopics {
			topic := fmt.Sprintf("live/l%d", i%load.LiveTopics)
			client.Live[topic] = true
			client.FollowTopics, client.SendTopics = append(client.FollowTopics, topic), append(client.SendTopics, topic)
		}
		if i < 2*load.UrgentSenders {
			client.Urgent["stop/line"] = true
			client.FollowTopics = append(client.FollowTopics, "stop/line")
			if i < load.UrgentSenders {
				client.SendTopics = append(client.SendTopics, "stop/line")
			}
		}
		clients = append(clients, client)
	}
	return clients
}
