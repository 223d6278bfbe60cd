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
func (w *World) Move(share float64) {
	w.note("move")
	w.mu.Lock()
	cs := w.callers
	w.mu.Unlock()
	for _, c := range cs {
		if w.float() < share {
			c.Move()
		}
	}
}

// Arrive has more callers attach at once; they stay.
func (w *World) Arrive(n int) {
	w.note("arrive")
	w.mu.Lock()
	k := len(w.callers)
	w.mu.Unlock()
	l := w.load
	l.Callers = n
	w.run(Plan(l, w.Seed+uint64(k), w.Site.Timing.Spread), fmt.Sprintf("late%d-", k))
}

// Load says how many callers there are and how often they send.
type Load struct {
	Callers, Topics, LiveTopics, Leads int
	// Flood is how many topics nobody follows there are for floods.
	Flood int
	// SessionTopics is how many kept topics there are for clients on line sessions alone.
	SessionTopics int
	Every         time.Duration
	// Rested has no client stop reading for a while.
	Rested bool
	// Habits changes those of clients; nil for none.
	Habits func(h *simclient.Habits)
}

// Describe writes the description of a load on a base.
func (l Load) Describe(base uint64) []byte {
	list := func(p string, n int) string {
		s := ""
		for i := range n {
			if i > 0 {
				s += ","
			}
			s += fmt.Sprintf(`"%s%d"`, p, i)
		}
		return s
	}
	kept := list("t", l.Topics)
	if l.SessionTopics > 0 {
		kept += "," + list("v", l.SessionTopics)
	}
	flood := ""
	if l.Flood > 0 {
		flood = fmt.Sprintf(`,{"name":"flood","kind":"kept","topics":[%s]}`, list("f", l.Flood))
	}
	return []byte(fmt.Sprintf(
		`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":[%s]},{"name":"stop","kind":"kept",`+
			`"urgent":true,"topics":["line"]},{"name":"live","kind":"live","topics":[%s]}%s]}`,
		base, kept, list("l", l.LiveTopics), flood))
}

// Numbered makes the description under a number of its operator's own, with its source.
func (l Load) Numbered(base, seq uint64, source string) []byte {
	return []byte(fmt.Sprintf(`{"sequence":%d,"source":%q,%s`, seq, source, l.Describe(base)[1:]))
}

// Callers starts the stand-in callers.
func (w *World) Callers(l Load) {
	w.load = l
	w.sending, w.sends = context.WithCancel(w.ctx)
	w.run(Plan(l, w.Seed, w.Site.Timing.Spread), "")
}

func (w *World) run(cs []*httpclient.Client, prefix string) {
	for _, c := range cs {
		c.Name = prefix + c.Name
		c.Clock, c.Transports, c.History = clock.Real{}, w.Ports, w.History
		w.wg.Go(func() { c.Run(w.ctx, w.sending) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers = append(w.callers, cs...)
}

// Plan makes the callers of a load; who sends and follows what depends only on the seed.
func Plan(l Load, seed uint64, spread time.Duration) []*httpclient.Client {
	rng := rand.New(rand.NewPCG(seed, 2))
	var cs []*httpclient.Client
	for i := range l.Callers {
		c := &httpclient.Client{Name: fmt.Sprintf("v%d", i), Every: l.Every,
			Rand: rand.New(rand.NewPCG(seed, uint64(i)+10)), Spread: spread, Urgent: map[string]bool{}, Live: map[string]bool{}}
		a := i % l.Topics
		c.Follows = []string{fmt.Sprintf("kept/t%d", a), fmt.Sprintf("kept/t%d", (a+1+rng.IntN(max(1, l.Topics-1)))%l.Topics)}
		c.Sends = []string{fmt.Sprintf("kept/t%d", a)}
		if l.LiveTopics > 0 && i < 2*l.LiveTopics {
			t := fmt.Sprintf("live/l%d", i%l.LiveTopics)
			c.Live[t] = true
			c.Follows, c.Sends = append(c.Follows, t), append(c.Sends, t)
		}
		if i < 2*l.Leads {
			c.Urgent["stop/line"] = true
			c.Follows = append(c.Follows, "stop/line")
			if i < l.Leads {
				c.Sends = append(c.Sends, "stop/line")
			}
		}
		cs = append(cs, c)
	}
	return cs
}
