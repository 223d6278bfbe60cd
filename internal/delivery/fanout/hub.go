// Package fanout delivers the messages of subscribed topics from the partition leaders to the
// client sessions of one node.
//
// A Hub has a feed for each partition that is or was subscribed to on this node. A feed registers
// its topics with the partition's leader (Follow), polls the committed entries of these topics
// (Poll), and passes each to the subscriptions of its topic.
//
// Invariants:
//   - A subscription gets each entry of its topic after its start, once and in the order of the log,
//     or it is broken.
//   - All buffers drop what a withdrawal covers before the leader is polled past it.
//   - A node that the leader may count as a reader (it may have received a message with a key)
//     remains registered until its buffers have nothing with a key. Then it reports that it is
//     finished.
//
// A feed is driven by up to three goroutines, started as needed and ended by the hub's context:
// followLoop (follow.go), pollLoop (poll.go) and releaseAll (finish.go). Its state is guarded by
// its mutex, which is not held during calls to a leader or a buffer. The callbacks of subscriptions
// run under that mutex. Lock order: Hub.mu before feed.mu.
package fanout

import (
	"context"
	"sync"

	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

// Leaders calls the leader that an assignment record names, without retries.
type Leaders interface {
	Follow(ctx context.Context, record assignment.Record, request *leader.FollowRequest) (*leader.FollowResponse, error)
	Poll(ctx context.Context, record assignment.Record, request *leader.PollRequest) (*leader.PollResponse, error)
}

// Buffer holds delivered messages until they are written to clients. A message that is being
// written can be dropped only by closing the client's connection. A dropped message must not be
// written after Withdraw or Release returned.
type Buffer interface {
	// Withdraw drops the messages of a partition that a withdrawal covers. It closes connections
	// where it has to.
	Withdraw(partition int, covered WithdrawnFunc)
	// Release drops the messages of a partition that have keys and reports whether none is left. It
	// closes connections only if closeConnections is set.
	Release(partition int, closeConnections bool) bool
}

// WithdrawnFunc reports whether the message of a topic under a key at an offset was withdrawn.
type WithdrawnFunc func(topic, key string, offset uint64) bool

// Hub manages the feeds of one node.
type Hub struct {
	self    string
	bootID  string
	leaders Leaders
	store   *gossip.Store
	clock   clock.Clock
	timing  settings.Timing
	ctx     context.Context

	// mu guards feeds and buffers.
	mu      sync.Mutex
	feeds   map[int]*feed
	buffers []Buffer
}

// New returns a hub whose goroutines end with ctx. bootID identifies this run of the node.
func New(
	ctx context.Context, self, bootID string, leaders Leaders, store *gossip.Store, clk clock.Clock,
	timing settings.Timing,
) *Hub {
	return &Hub{
		self:    self,
		bootID:  bootID,
		leaders: leaders,
		store:   store,
		clock:   clk,
		timing:  timing,
		ctx:     ctx,
		feeds:   map[int]*feed{},
	}
}

// Run makes feeds poll a new leader as soon as the assignment record names one, until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := h.store.Changed()
		h.mu.Lock()
		for partition, feed := range h.feeds {
			feed.recordChanged(h.store.Record(partition))
		}
		h.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// AddBuffer adds a buffer that withdrawn messages are dropped from.
func (h *Hub) AddBuffer(buffer Buffer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buffers = append(h.buffers, buffer)
}

// NewSubscription returns a subscription that the caller completes with callbacks and starts with
// Subscribe.
func (h *Hub) NewSubscription(partition int, topic string) *Subscription {
	return &Subscription{Topic: topic, feed: h.feed(partition)}
}

// Subscribe starts a subscription. It never blocks.
func (h *Hub) Subscribe(s *Subscription) {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.removed {
		return
	}
	s.requestedAt = h.clock.Now()
	if len(f.subscriptions) == 0 {
		f.lastHeard = s.requestedAt
	}
	if f.subscriptions[s.Topic] == nil {
		f.subscriptions[s.Topic] = map[*Subscription]bool{}
	}
	f.subscriptions[s.Topic][s] = true
	f.changed[s.Topic] = true
	f.pending = append(f.pending, s)
	if f.cancelFinish != nil {
		f.cancelFinish()
	}
	f.reportNow()
}

// Unsubscribe ends a subscription. None of its callbacks runs after it returns. It reports whether
// OnOpen was called.
func (h *Hub) Unsubscribe(s *Subscription) bool {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(s)
	f.reportDropsLater()
	return s.answered
}

func (h *Hub) feed(partition int) *feed {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.feeds[partition]
	if !ok {
		f = newFeed(h, partition)
		h.feeds[partition] = f
	}
	return f
}

func (h *Hub) allBuffers() []Buffer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.buffers
}

func (h *Hub) withdraw(partition int, withdrawn tombstones) {
	for _, buffer := range h.allBuffers() {
		buffer.Withdraw(partition, withdrawn.covers)
	}
}

func (h *Hub) release(partition int, closeConnections bool) bool {
	released := true
	for _, buffer := range h.allBuffers() {
		released = buffer.Release(partition, closeConnections) && released
	}
	return released
}
