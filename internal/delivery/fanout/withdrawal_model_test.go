package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// modelLeader models a leader: it counts readers by boot ID, omits withdrawn messages, and
// completes a withdrawal once all readers have polled past its tombstone. Its responses may be late
// or lost, and requests may arrive after their callers have given up. It is also the buffer of the
// messages that clients have not received yet.
type modelLeader struct {
	mu              sync.Mutex
	random          *rand.Rand
	entries         []log.Entry
	tombstones      tombstones
	openWithdrawals []log.Entry
	finished        tombstones
	bootID          string
	sequence        uint64
	topics          map[string]int
	readers         map[string]uint64
	connections     []*connection
	violations      []string
	delivered       int
	closed          int
	finishes        int
}

func (m *modelLeader) addViolation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *modelLeader) randomInt(limit int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(limit)
}

func (m *modelLeader) delay() {
	duration := time.Duration(m.randomInt(20)) * time.Millisecond
	if m.randomInt(12) == 0 {
		duration = time.Duration(m.randomInt(1500)) * time.Millisecond
	}
	time.Sleep(duration)
}

func (m *modelLeader) isWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && entry.Type == log.TypeMessage && m.tombstones.covers(entry.Topic, entry.Key, entry.Offset)
}

// completeWithdrawals completes the withdrawals that all readers have read past.
func (m *modelLeader) completeWithdrawals() {
	m.openWithdrawals = slices.DeleteFunc(m.openWithdrawals, func(entry log.Entry) bool {
		for _, offset := range m.readers {
			if offset < entry.Offset {
				return false
			}
		}
		m.finished.add(entry)
		return true
	})
}

func (m *modelLeader) appendEntry() {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := log.Entry{
		Offset: uint64(len(m.entries) + 1),
		Type:   log.TypeMessage,
		Topic:  []string{"a", "b"}[m.random.IntN(2)],
		Key:    []string{"", "k", "j"}[m.random.IntN(3)],
	}
	if entry.Key != "" && m.random.IntN(3) == 0 {
		entry.Type = log.TypeWithdrawal
	}
	m.entries = append(m.entries, entry)
	if entry.Type == log.TypeWithdrawal {
		m.tombstones.add(entry)
		m.openWithdrawals = append(m.openWithdrawals, entry)
		m.completeWithdrawals()
	}
}

// read returns the wanted entries after an offset. It counts the node as a reader before it returns
// anything with a key.
func (m *modelLeader) read(bootID string, from uint64, isWanted func(log.Entry) bool) []log.Entry {
	var entries []log.Entry
	for _, entry := range m.entries[from:] {
		if isWanted(entry) && !m.isWithdrawn(entry) {
			entries = append(entries, entry)
		}
	}
	if _, ok := m.readers[bootID]; hasKeys(entries) && !ok {
		m.readers[bootID] = 0
	}
	return entries
}

func (m *modelLeader) handleFollow(request *leader.FollowRequest) *leader.FollowResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	isContinuation := request.BootID == m.bootID && request.BaseSequence == m.sequence
	if request.Sequence <= m.sequence || !request.Full && !isContinuation {
		return &leader.FollowResponse{Epoch: 1, UnknownFollower: true}
	}
	if request.Full {
		m.topics = map[string]int{}
	}
	if request.BootID != m.bootID {
		clear(m.readers)
	}
	m.bootID, m.sequence = request.BootID, request.Sequence
	if request.Finished {
		m.finishes++
		delete(m.readers, request.BootID)
	}
	m.completeWithdrawals()
	for topic, count := range request.Topics {
		m.topics[topic] = count
	}
	response := &leader.FollowResponse{
		Epoch:        1,
		CommittedEnd: uint64(len(m.entries)),
		BacklogEnd:   uint64(len(m.entries)),
	}
	response.Backlog = m.read(request.BootID, 0, func(entry log.Entry) bool {
		offset, ok := request.After[entry.Topic]
		return ok && entry.Offset > offset
	})
	if request.FirstOnly && len(response.Backlog) > 1 {
		response.BacklogEnd = response.Backlog[1].Offset - 1
		response.Backlog = response.Backlog[:1]
	}
	return response
}

func (m *modelLeader) handlePoll(request *leader.PollRequest) *leader.PollResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.BootID != m.bootID || request.Sequence > m.sequence {
		return &leader.PollResponse{Epoch: 1, UnknownFollower: true}
	}
	if offset, ok := m.readers[request.BootID]; ok {
		m.readers[request.BootID] = max(offset, request.From)
		m.completeWithdrawals()
	}
	response := &leader.PollResponse{Epoch: 1, To: uint64(len(m.entries))}
	isFollowed := func(entry log.Entry) bool { return entry.Type == log.TypeMessage && m.topics[entry.Topic] > 0 }
	response.Entries = m.read(request.BootID, request.From, isFollowed)
	if _, ok := m.readers[request.BootID]; ok {
		response.Entries = m.read(request.BootID, request.From, func(entry log.Entry) bool {
			return entry.Type == log.TypeWithdrawal || isFollowed(entry)
		})
	}
	if len(response.Entries) == 0 && request.MaxWait > 0 {
		return nil
	}
	return response
}

// callLossy handles a request even if the caller has given up. It delays the request and the
// response, and sometimes loses the response.
func callLossy[Response any](ctx context.Context, model *modelLeader, handle func() *Response) (*Response, error) {
	responses := make(chan *Response, 1)
	go func() {
		model.delay()
		response := handle()
		model.delay()
		if model.randomInt(10) > 0 {
			responses <- response
		}
	}()
	select {
	case response := <-responses:
		return response, nil
	case <-ctx.Done():
		return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer")
	}
}

func (m *modelLeader) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	return callLossy(ctx, m, func() *leader.FollowResponse { return m.handleFollow(request) })
}

func (m *modelLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	callCtx, stop := context.WithTimeout(ctx, request.MaxWait+settings.DefaultTiming.CallTimeout())
	defer stop()
	until := time.Now().Add(request.MaxWait)
	return callLossy(callCtx, m, func() *leader.PollResponse {
		for {
			if time.Now().After(until) {
				request.MaxWait = 0
			}
			if response := m.handlePoll(request); response != nil {
				return response
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// connection is a client's connection.
type connection struct {
	queued, inFlight []log.Entry
	flushing, closed bool
}

func (m *modelLeader) enqueue(client *connection, entry log.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if client.closed {
		return
	}
	client.queued = append(client.queued, entry)
	if !client.flushing {
		client.flushing = true
		go m.flush(client)
	}
}

// flush writes the queued entries. Entries count as delivered once the client has read them.
func (m *modelLeader) flush(client *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(client.queued) > 0 && !client.closed {
		client.inFlight, client.queued = client.queued, nil
		duration := time.Duration(m.random.IntN(10)) * time.Millisecond
		if m.random.IntN(20) == 0 {
			duration = time.Duration(m.random.IntN(6000)) * time.Millisecond
		}
		m.mu.Unlock()
		time.Sleep(duration)
		m.mu.Lock()
		for _, entry := range client.inFlight {
			if entry.Type == log.TypeMessage && entry.Key != "" && m.finished.covers(
				entry.Topic, entry.Key, entry.Offset,
			) {
				m.addViolation(
					"%s %s at %d was delivered after its withdrawal was complete", entry.Topic, entry.Key, entry.Offset,
				)
			}
			m.delivered++
		}
		client.inFlight = nil
	}
	client.flushing = false
}

func (m *modelLeader) drop(closeConnections bool, covers func(log.Entry) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	released := true
	for _, client := range m.connections {
		client.queued = slices.DeleteFunc(client.queued, covers)
		if slices.ContainsFunc(client.inFlight, covers) {
			if closeConnections {
				client.closed, client.queued, client.inFlight = true, nil, nil
				m.closed++
			}
			released = released && closeConnections
		}
	}
	return released
}

func (m *modelLeader) Withdraw(_ int, covered WithdrawnFunc) {
	m.drop(true, func(entry log.Entry) bool {
		return entry.Type == log.TypeMessage && entry.Key != "" && covered(entry.Topic, entry.Key, entry.Offset)
	})
}

func (m *modelLeader) Release(_ int, closeConnections bool) bool {
	return m.drop(closeConnections, func(entry log.Entry) bool {
		return entry.Type == log.TypeMessage && entry.Key != ""
	})
}

// runClient subscribes and unsubscribes repeatedly, with random cursors.
func (m *modelLeader) runClient(hub *Hub, until time.Time) {
	var client *connection
	for time.Now().Before(until) {
		m.mu.Lock()
		if client == nil || client.closed {
			client = &connection{}
			m.connections = append(m.connections, client)
		}
		client := client
		subscription := hub.NewSubscription(0, []string{"a", "b"}[m.random.IntN(2)])
		if count := len(m.entries); m.random.IntN(3) > 0 && count > 0 {
			subscription.After = offsetPointer(uint64(count - m.random.IntN(min(count, 60))))
		}
		m.mu.Unlock()
		var position uint64
		subscription.OnOpen = func(offset uint64, _ error) { position = offset }
		subscription.OnEntry = func(entry log.Entry) {
			m.mu.Lock()
			for _, skipped := range m.entries[position : entry.Offset-1] {
				if skipped.Topic == subscription.Topic && skipped.Key == "" {
					m.addViolation("%s at %d was skipped", skipped.Topic, skipped.Offset)
				}
			}
			if entry.Offset <= position {
				m.addViolation("%s at %d was delivered after %d", entry.Topic, entry.Offset, position)
			}
			m.mu.Unlock()
			position = entry.Offset
			m.enqueue(client, entry)
		}
		subscription.OnBroken = func() {}
		hub.Subscribe(subscription)
		time.Sleep(time.Duration(m.randomInt(2000)) * time.Millisecond)
		hub.Unsubscribe(subscription)
		m.mu.Lock()
		client.queued = slices.DeleteFunc(client.queued, func(entry log.Entry) bool {
			return entry.Key != "" && entry.Topic == subscription.Topic
		})
		m.mu.Unlock()
		if m.randomInt(3) == 0 {
			time.Sleep(time.Duration(m.randomInt(6000)) * time.Millisecond)
		}
	}
}

// Requests, responses and writes race with withdrawals. Nothing is delivered after the withdrawal
// that covers it is complete, each withdrawal completes, and nothing else is skipped.
func TestNothingIsDeliveredAfterWithdrawalCompletes(t *testing.T) {
	delivered, closed, finishes := 0, 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			model := &modelLeader{
				random:     rand.New(rand.NewPCG(seed, 1)),
				tombstones: tombstones{},
				finished:   tombstones{},
				readers:    map[string]uint64{},
			}
			hub := New(ctx, "a1", "boot", model, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
			hub.AddBuffer(model)
			until := time.Now().Add(30 * time.Second)
			for range 1 + seed%3 {
				go model.runClient(hub, until)
			}
			for time.Now().Before(until) {
				model.appendEntry()
				time.Sleep(time.Duration(model.randomInt(40)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			model.mu.Lock()
			assert.Equal(t, len(model.violations), 0, "seed %d: %v", seed, model.violations)
			assert.Equal(
				t, len(model.openWithdrawals), 0, "seed %d: withdrawals not finished, readers %v", seed,
				model.readers,
			)
			delivered, closed, finishes = delivered+model.delivered, closed+model.closed, finishes+model.finishes
			model.mu.Unlock()
			stop()
			time.Sleep(time.Minute)
		})
	}
	assert.Assert(
		t, delivered > 1000 && closed > 10 && finishes > 10, "%d delivered, %d closed, %d finished", delivered, closed,
		finishes,
	)
	t.Logf("%d delivered, %d connections closed, %d times finished", delivered, closed, finishes)
}
