package session

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

// PartitionLog is the partition log as sessions use it, wherever the partition's leader runs.
type PartitionLog interface {
	// SubmitAsync submits a message for a decision before deadline and calls done once with the
	// outcome; it doesn't block.
	SubmitAsync(ctx context.Context, partition int, message *leader.Message, deadline time.Time,
		done func(*leader.Decision, error))
	// Subscribers returns how many clients are subscribed to a topic.
	Subscribers(ctx context.Context, partition int, topic string) (int, error)
	// PendingReaders returns the nodes that have not read past offset. It blocks until there
	// are none, for wait at most.
	PendingReaders(
		ctx context.Context, partition int, offset uint64, wait time.Duration,
	) (*leader.PendingReaders, error)
	// CheckKeysSupported returns an error while some node runs a build without message keys.
	CheckKeysSupported() error
}

// Registry has the sessions of one node. The exported fields are set before Start and not changed
// after it.
type Registry struct {
	Self         string
	Clock        clock.Clock
	Timing       settings.Timing
	Store        *gossip.Store
	Hub          *fanout.Hub
	PartitionLog PartitionLog
	CheckLease   func() error
	Draining     <-chan struct{}
	Members      func() []membership.Info
	Info         func() membership.Info
	BodyLimit    int

	ctx context.Context

	// mu guards the fields below, up to balance.
	mu       sync.Mutex
	sessions map[*Session]bool
	// buffers have responses that are not written yet. A buffer may remain after its session ended.
	buffers map[Buffer]bool
	index   *configuration.Index
	// nextTarget returns in turn the nodes that this node's clients are redirected to; it is nil
	// while this node serves them.
	nextTarget func() membership.Info

	balance balance
}

// Start makes the registry ready. Requests in progress continue until ctx ends.
func (r *Registry) Start(ctx context.Context) *Registry {
	r.ctx, r.sessions, r.buffers = ctx, map[*Session]bool{}, map[Buffer]bool{}
	if r.Hub != nil {
		r.Hub.AddBuffer(r)
	}
	return r
}

// Run ends subscriptions whose topic the configuration no longer has, and moves all clients to
// other nodes when this node drains. It returns when ctx ends or after it has moved the clients.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := r.Store.Changed()
		r.refresh()
		select {
		case <-changed:
		case <-r.Draining:
			r.redirectToServing()
			return
		case <-ctx.Done():
		}
	}
}

// NewSession opens a session. Its responses go to sink, which must not block.
func (r *Registry) NewSession(sink Sink) *Session {
	session := &Session{registry: r, sink: sink, subscriptions: map[string]*fanout.Subscription{}}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sessions[session] = true
	return session
}

// Count returns the number of sessions.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sessions)
}

// Withdraw makes all buffers drop the messages of a partition that withdrawals cover, also those of
// topics that were unsubscribed and of sessions that ended.
func (r *Registry) Withdraw(partition int, covered fanout.WithdrawnFunc) {
	for _, buffer := range r.allBuffers() {
		buffer.Withdraw(partition, covered)
	}
}

// Release makes all buffers drop the messages of a partition that have keys, and reports whether
// none is left. It closes connections only if closeConnections is set.
func (r *Registry) Release(partition int, closeConnections bool) bool {
	released := true
	for _, buffer := range r.allBuffers() {
		released = buffer.Release(partition, closeConnections) && released
	}
	return released
}

// refresh ends the subscriptions whose topic is removed from the current configuration or is in
// another partition.
func (r *Registry) refresh() {
	index := r.Store.Index()
	r.mu.Lock()
	unchanged := index.AgreesWith(r.index)
	r.index = index
	r.mu.Unlock()
	if unchanged {
		return
	}
	for _, session := range r.allSessions() {
		for _, topic := range session.topics() {
			session.dropIfMoved(topic, index)
		}
	}
}

func (s *Session) dropIfMoved(topic string, index *configuration.Index) {
	space, err := index.Find(topic)
	subscription := s.subscription(topic)
	if subscription == nil {
		return
	}
	if err == nil {
		if partition.Of(topic, space.Urgent, s.registry.Store.VoterSet().Layout) == subscription.Partition() {
			return
		}
		err = apierror.New(apierror.UnknownTopic, "%s is in another partition now", topic)
	}
	s.drop(topic, err)
}

func (r *Registry) allSessions() []*Session {
	r.mu.Lock()
	defer r.mu.Unlock()
	sessions := make([]*Session, 0, len(r.sessions))
	for session := range r.sessions {
		sessions = append(sessions, session)
	}
	return sessions
}

func (r *Registry) allBuffers() []Buffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	buffers := make([]Buffer, 0, len(r.buffers))
	for buffer := range r.buffers {
		buffers = append(buffers, buffer)
	}
	return buffers
}

// checkAvailable returns an error while this node drains or has no lease.
func (r *Registry) checkAvailable() error {
	select {
	case <-r.Draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
	}
	return r.CheckLease()
}
