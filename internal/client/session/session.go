package session

import (
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/router"
)

const (
	maxTopics     = 200
	maxNameBytes  = 128
	maxTopicBytes = 256
)

// Session is one client on one connection. Do, AttachBuffer and End are called by one goroutine, in
// order. Responses may be sent by any goroutine.
type Session struct {
	registry *Registry
	sink     Sink
	// name is the client's name, empty until the client has attached.
	name   string
	buffer Buffer

	// mu guards the fields below.
	mu            sync.Mutex
	subscriptions map[string]*fanout.Subscription
	ended         bool
	redirected    bool
}

// AttachBuffer sets the buffer that contains the session's responses until they are written. It is
// called before the first request. The returned function is called when the session has ended and
// the buffer is empty.
func (s *Session) AttachBuffer(buffer Buffer) func() {
	s.buffer = buffer
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buffers[buffer] = true
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.buffers, buffer)
	}
}

// End ends the session and its subscriptions. Messages that it sent are still decided.
func (s *Session) End() {
	s.registry.mu.Lock()
	delete(s.registry.sessions, s)
	s.registry.mu.Unlock()
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	for _, topic := range s.topics() {
		s.drop(topic, nil)
	}
}

var handlers = map[Verb]func(*Session, Request) error{
	Attach:      (*Session).attach,
	Subscribe:   (*Session).subscribe,
	Unsubscribe: (*Session).unsubscribe,
	Send:        (*Session).send,
	Count:       (*Session).count,
	Withdraw:    (*Session).withdraw,
	Heartbeat:   (*Session).heartbeat,
}

// Do handles a request. It never waits for other nodes; the response goes to the sink, possibly
// before Do returns.
func (s *Session) Do(request Request) {
	handle, ok := handlers[request.Verb]
	if !ok {
		s.reject(request, apierror.New(apierror.Malformed, "there is no verb %q", request.Verb))
		return
	}
	if err := handle(s, request); err != nil {
		s.reject(request, err)
	}
}

func (s *Session) reject(request Request, err error) {
	if request.Verb == Send || request.Verb == Withdraw {
		err = router.RejectCallNumber(err)
	}
	s.sink(Response{
		Type:      Rejected,
		InReplyTo: request.Verb,
		Topic:     request.Topic,
		CallSeq:   request.CallSeq,
		Err:       err,
	})
}

func (s *Session) heartbeat(Request) error {
	s.sink(Response{Type: Alive})
	return nil
}

func (s *Session) attach(request Request) error {
	if !isPrintable(request.Client, maxNameBytes) {
		return apierror.New(apierror.Malformed, "a client's name must be 1 to %d printable bytes without spaces",
			maxNameBytes)
	}
	if err := s.registry.checkAvailable(); err != nil {
		return err
	}
	if address := s.registry.redirectAddress(); address != "" {
		s.sink(Response{Type: Moved, Address: address})
		return nil
	}
	s.name = request.Client
	s.sink(Response{Type: Attached})
	return nil
}

func (s *Session) subscribe(request Request) error {
	_, partition, err := s.find(request.Topic)
	if err != nil {
		return err
	}
	subscription := s.registry.Hub.NewSubscription(partition, request.Topic)
	if request.Cursor != "" {
		cursor, err := DecodeCursor(s.registry.Store.VoterSet().Fleet, request.Cursor)
		if err != nil {
			return err
		}
		if cursor.Partition != partition {
			return apierror.New(
				apierror.CursorMalformed, "the cursor %.64q does not belong to %s", request.Cursor, request.Topic,
			)
		}
		subscription.After = &cursor.Offset
	}
	s.setCallbacks(subscription, request)
	s.drop(request.Topic, apierror.New(apierror.Overloaded, "%s was subscribed to again", request.Topic))
	if added, err := s.add(subscription); err != nil || !added {
		return err
	}
	s.registry.Hub.Subscribe(subscription)
	return nil
}

// setCallbacks sets callbacks that send the events of a subscription as responses of the session.
func (s *Session) setCallbacks(subscription *fanout.Subscription, request Request) {
	fleet, partition := s.registry.Store.VoterSet().Fleet, subscription.Partition()
	subscription.OnOpen = func(offset uint64, err error) {
		if err != nil {
			s.forget(subscription)
			s.reject(request, err)
			return
		}
		s.sink(Response{Type: Subscribed, Topic: request.Topic, Cursor: Cursor{partition, offset}.Encode(fleet)})
	}
	subscription.OnEntry = func(entry log.Entry) {
		response := Response{
			Type:      Message,
			Topic:     entry.Topic,
			Cursor:    Cursor{partition, entry.Offset}.Encode(fleet),
			From:      entry.Client,
			CallSeq:   entry.CallSeq,
			Body:      entry.Body,
			Key:       entry.Key,
			Partition: partition,
			Offset:    entry.Offset,
		}
		if entry.Type == log.TypeWithdrawal {
			response.Type, response.Body = Withdrawn, nil
		}
		s.sink(response)
	}
	subscription.OnBroken = func() { s.reconnectHere(subscription) }
}

// add records a subscription before the hub has it. It reports false when the session has ended.
func (s *Session) add(subscription *fanout.Subscription) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.subscriptions) >= maxTopics {
		return false, apierror.New(apierror.Overloaded, "a session subscribes to at most %d topics", maxTopics)
	}
	if s.ended {
		return false, nil
	}
	s.subscriptions[subscription.Topic] = subscription
	return true, nil
}

func (s *Session) unsubscribe(request Request) error {
	s.drop(request.Topic, apierror.New(apierror.Overloaded, "%s was unsubscribed before it was open", request.Topic))
	s.sink(Response{Type: Unsubscribed, Topic: request.Topic})
	return nil
}

func (s *Session) count(request Request) error {
	_, partition, err := s.find(request.Topic)
	if err != nil {
		return err
	}
	go func() {
		count, err := s.registry.PartitionLog.Subscribers(s.registry.ctx, partition, request.Topic)
		if err != nil {
			s.reject(request, err)
			return
		}
		s.sink(Response{Type: Counted, Topic: request.Topic, Count: count})
	}()
	return nil
}

// find returns the space and the partition of a topic, or why it can't be used now.
func (s *Session) find(topic string) (configuration.Space, int, error) {
	if s.name == "" {
		return configuration.Space{}, 0, apierror.New(apierror.TokenMissing, "attach first")
	}
	if err := s.registry.checkAvailable(); err != nil {
		return configuration.Space{}, 0, err
	}
	if !isPrintable(topic, maxTopicBytes) {
		return configuration.Space{}, 0, apierror.New(apierror.Malformed,
			"a topic must be 1 to %d printable bytes without spaces", maxTopicBytes)
	}
	space, err := s.registry.Store.Index().Find(topic)
	if err != nil {
		return space, 0, err
	}
	number := partition.Of(topic, space.Urgent, s.registry.Store.VoterSet().Layout)
	if number == partition.None {
		return space, 0, apierror.New(apierror.NoPartitionLeader, "the fleet is not bootstrapped yet")
	}
	return space, number, nil
}

func (s *Session) topics() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	topics := make([]string, 0, len(s.subscriptions))
	for topic := range s.subscriptions {
		topics = append(topics, topic)
	}
	return topics
}

func (s *Session) subscription(topic string) *fanout.Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.subscriptions[topic]
}

// drop ends a subscription. If the request for it has not been answered yet, it is rejected with
// err, unless err is nil.
func (s *Session) drop(topic string, err error) {
	s.mu.Lock()
	subscription := s.subscriptions[topic]
	delete(s.subscriptions, topic)
	s.mu.Unlock()
	if subscription == nil {
		return
	}
	answered := s.registry.Hub.Unsubscribe(subscription)
	if s.buffer != nil {
		s.buffer.Drop(topic)
	}
	if !answered && err != nil {
		s.reject(Request{Verb: Subscribe, Topic: topic}, err)
	}
}

// forget removes a subscription that the hub has ended.
func (s *Session) forget(subscription *fanout.Subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscriptions[subscription.Topic] == subscription {
		delete(s.subscriptions, subscription.Topic)
	}
}

// reconnectHere asks the client, once, to reconnect to this node with its cursors, because an open
// subscription has a gap and can't continue.
func (s *Session) reconnectHere(subscription *fanout.Subscription) {
	s.forget(subscription)
	s.mu.Lock()
	wasRedirected := s.redirected
	s.redirected = true
	s.mu.Unlock()
	if !wasRedirected {
		s.sink(Response{Type: Moved, Address: s.registry.Info().ClientAddr})
	}
}

// isPrintable reports whether text has 1 to limit bytes, all of them printable ASCII without
// spaces.
func isPrintable(text string, limit int) bool {
	if text == "" || len(text) > limit {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
