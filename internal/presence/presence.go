// Package presence counts who listens.
package presence

import (
	"context"
	"net/http"
	"slices"

	"postjunction/internal/keylock"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// CountRequest asks a node who listens to a topic on it.
type CountRequest struct {
	Topic string `json:"t"`
}

// CountResponse names the listeners.
type CountResponse struct {
	Clients []string `json:"v"`
}

// Count is the presence call.
var Count = wire.NewProcedure[CountRequest, CountResponse]("Carrier", "Count", wire.ReadOnly, "counts")

// Presence holds the listeners of one node by topic.
type Presence struct {
	Self   string
	Net    wire.Network
	Timing settings.Timing
	View   *membership.View
	m      *keylock.Map[string, map[string]int]
}

// New makes an empty presence.
func New(self string, n wire.Network, b settings.Timing, v *membership.View) *Presence {
	return &Presence{Self: self, Net: n, Timing: b, View: v, m: keylock.NewMap[string, map[string]int]()}
}

func (p *Presence) add(topic, visitor string, n int) {
	p.m.Update(topic, func(m map[string]int, ok bool) (map[string]int, bool) {
		if !ok {
			m = map[string]int{}
		}
		if m[visitor] += n; m[visitor] <= 0 {
			delete(m, visitor)
		}
		return m, len(m) > 0
	})
}

// Add notes a listener; the function takes it out again.
func (p *Presence) Add(visitor string, topics []string) func() {
	for _, t := range topics {
		p.add(t, visitor, 1)
	}
	return func() {
		for _, t := range topics {
			p.add(t, visitor, -1)
		}
	}
}

func (p *Presence) here(topic string) []string {
	var s []string
	p.m.Update(topic, func(m map[string]int, ok bool) (map[string]int, bool) {
		for v := range m {
			s = append(s, v)
		}
		return m, ok
	})
	return s
}

// CountOthers counts the other visitors that listen to a topic on any node; whole tells whether every node answered.
func (p *Presence) CountOthers(ctx context.Context, topic, visitor string) (n int, whole bool) {
	cx, stop := context.WithTimeout(ctx, p.Timing.CallTimeout()/2)
	defer stop()
	fs := membership.Filter(p.View.All(), func(i membership.Info) bool { return i.Name != p.Self })
	as := quorum.Gather(cx, fs, func(ctx context.Context, i membership.Info) (*CountResponse, error) {
		return Count.Call(ctx, p.Net, p.Self, i.PeerAddr, &CountRequest{Topic: topic})
	}, nil)
	all := p.here(topic)
	for _, a := range quorum.Successes(as) {
		all = append(all, a.Value.Clients...)
	}
	slices.Sort(all)
	all = slices.DeleteFunc(slices.Compact(all), func(s string) bool { return s == visitor })
	return len(all), len(quorum.Successes(as)) == len(fs)
}

// Serve adds the presence call.
func (p *Presence) Serve(m *http.ServeMux) {
	Count.Handle(m, func(_ context.Context, q *CountRequest) (*CountResponse, error) {
		return &CountResponse{Clients: p.here(q.Topic)}, nil
	})
}
