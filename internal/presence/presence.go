// Package presence counts the clients that are subscribed to a topic on all nodes. Each node has
// its own subscribers in memory, in a sharded map; counting calls all other nodes and waits for
// half of a call's time-out at most.
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

// CountRequest asks a node for the subscribers of a topic on it.
type CountRequest struct {
	Topic string `json:"t"`
}

// CountResponse has the names of the subscribed clients.
type CountResponse struct {
	Clients []string `json:"v"`
}

// Count is the procedure by which a node reads the subscribers of another.
var Count = wire.NewProcedure[CountRequest, CountResponse]("Carrier", "Count", wire.ReadOnly, "counts")

// Presence has the subscribers of one node. The exported fields are not changed after New.
type Presence struct {
	Self   string
	Net    wire.Network
	Timing settings.Timing
	View   *membership.View
	// subscribers counts the subscriptions of a topic by client.
	subscribers *keylock.Map[string, map[string]int]
}

// New returns a Presence without subscribers.
func New(self string, network wire.Network, timing settings.Timing, view *membership.View) *Presence {
	return &Presence{
		Self:        self,
		Net:         network,
		Timing:      timing,
		View:        view,
		subscribers: keylock.NewMap[string, map[string]int](),
	}
}

func (p *Presence) add(topic, client string, change int) {
	p.subscribers.Update(topic, func(counts map[string]int, ok bool) (map[string]int, bool) {
		if !ok {
			counts = map[string]int{}
		}
		if counts[client] += change; counts[client] <= 0 {
			delete(counts, client)
		}
		return counts, len(counts) > 0
	})
}

// Add adds a subscriber; the returned function removes it again.
func (p *Presence) Add(client string, topics []string) func() {
	for _, topic := range topics {
		p.add(topic, client, 1)
	}
	return func() {
		for _, topic := range topics {
			p.add(topic, client, -1)
		}
	}
}

func (p *Presence) localClients(topic string) []string {
	var clients []string
	p.subscribers.Update(topic, func(counts map[string]int, ok bool) (map[string]int, bool) {
		for client := range counts {
			clients = append(clients, client)
		}
		return counts, ok
	})
	return clients
}

// CountOthers returns how many other clients are subscribed to a topic on any node, and whether
// every node answered.
func (p *Presence) CountOthers(ctx context.Context, topic, client string) (count int, complete bool) {
	callCtx, cancel := context.WithTimeout(ctx, p.Timing.CallTimeout()/2)
	defer cancel()
	peers := membership.Filter(p.View.All(), func(member membership.Info) bool { return member.Name != p.Self })
	answers := quorum.Gather(callCtx, peers, func(ctx context.Context, peer membership.Info) (*CountResponse, error) {
		return Count.Call(ctx, p.Net, p.Self, peer.PeerAddr, &CountRequest{Topic: topic})
	}, nil)
	successes := quorum.Successes(answers)
	clients := p.localClients(topic)
	for _, answer := range successes {
		clients = append(clients, answer.Value.Clients...)
	}
	slices.Sort(clients)
	others := slices.DeleteFunc(slices.Compact(clients), func(name string) bool { return name == client })
	return len(others), len(successes) == len(peers)
}

// Serve registers the procedure.
func (p *Presence) Serve(mux *http.ServeMux) {
	Count.Handle(mux, func(_ context.Context, request *CountRequest) (*CountResponse, error) {
		return &CountResponse{Clients: p.localClients(request.Topic)}, nil
	})
}
