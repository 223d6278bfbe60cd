// Package fanout carries the messages of followed topics from their owners to the visits of one node: it tells each owner which topics are
// followed here, and gets only these.
package fanout

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// Leaders asks the owner that a record names, one time.
type Leaders interface {
	Follow(ctx context.Context, r assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error)
	Poll(ctx context.Context, r assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error)
}

// Hub holds what one node follows, by partition.
type Hub struct {
	self, boot string
	src        Leaders
	board      *gossip.Store
	clk        clock.Clock
	bounds     settings.Timing
	ctx        context.Context
	mu         sync.Mutex
	m          map[int]*feed
	holders    []Buffer
}

// Buffer keeps messages that subscriptions were given until visitors have them. Withdraw lets go of those with keys that are covered.
// Release lets go of all that have keys in a partition; it tells whether none is left. What is being written to a visitor can only be let go of by ending its
// connection: Withdraw does so, Release where it may cut. Nothing that was let go of is written after they return.
type Buffer interface {
	Withdraw(p int, covered WithdrawnFunc)
	Release(p int, cut bool) bool
}

// New makes a hub that lives as long as ctx; boot names this run of the node.
func New(ctx context.Context, self, boot string, s Leaders, g *gossip.Store, c clock.Clock, b settings.Timing) *Hub {
	return &Hub{self: self, boot: boot, src: s, board: g, clk: c, bounds: b, ctx: ctx, m: map[int]*feed{}}
}

// WithdrawnFunc tells whether a message of a topic that stands under a key at an offset was withdrawn.
type WithdrawnFunc func(topic, key string, offset uint64) bool

// AddBuffer has a holder told of what is to be let go of.
func (h *Hub) AddBuffer(x Buffer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holders = append(h.holders, x)
}

func (h *Hub) held() []Buffer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holders
}

func (h *Hub) withdraw(p int, m marks) {
	for _, x := range h.held() {
		x.Withdraw(p, m.cover)
	}
}

func (h *Hub) release(p int, cut bool) bool {
	all := true
	for _, x := range h.held() {
		all = x.Release(p, cut) && all
	}
	return all
}

// Subscription is one visit's interest in one topic. Opened is told once where it begins, or why it can't; Give gets each message and withdrawal after that
// place, once, in order. Broken ends a subscription that was opened, since something that was to be given is no longer held anywhere. All are called
// one at a time and must not block or call the hub.
type Subscription struct {
	Topic    string
	After    *uint64
	OnOpen   func(at uint64, err error)
	OnEntry  func(e log.Entry)
	OnBroken func()

	feed     *feed
	pos      uint64
	asked    time.Time
	told     bool
	answered bool
	open     bool
	left     bool
	held     []log.Entry
}

func (h *Hub) feed(p int) *feed {
	h.mu.Lock()
	defer h.mu.Unlock()
	f, ok := h.m[p]
	if !ok {
		f = &feed{h: h, p: p, boot: h.boot, topics: map[string]map[*Subscription]bool{}, dirty: map[string]bool{}, kick: make(chan struct{}, 1), ready: make(chan struct{})}
		h.m[p] = f
	}
	return f
}

// NewSubscription makes a subscription that Join takes up.
func (h *Hub) NewSubscription(p int, topic string) *Subscription {
	return &Subscription{Topic: topic, feed: h.feed(p)}
}

// Subscribe takes a topic up. It never blocks.
func (h *Hub) Subscribe(s *Subscription) {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.left {
		return
	}
	s.asked = h.clk.Now()
	if len(f.topics) == 0 {
		f.heard = s.asked
	}
	if f.topics[s.Topic] == nil {
		f.topics[s.Topic] = map[*Subscription]bool{}
	}
	f.topics[s.Topic][s] = true
	f.dirty[s.Topic] = true
	f.waiting = append(f.waiting, s)
	if f.quit != nil {
		f.quit()
	}
	f.wake()
}

// Unsubscribe drops a topic; nothing is given after it returns. It tells whether Opened was called.
func (h *Hub) Unsubscribe(s *Subscription) bool {
	f := s.feed
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(s)
	f.later()
	return s.answered
}

// Run turns feeds to new owners at once until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch := h.board.Changed()
		h.mu.Lock()
		for p, f := range h.m {
			f.turn(h.board.Record(p))
		}
		h.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
	}
}

// Partition is where the topic's line stands.
func (s *Subscription) Partition() int { return s.feed.p }
