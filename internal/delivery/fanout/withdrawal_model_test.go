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

// modelLeader is a leader by the design: it counts readers by boot ID, leaves out what is
// withdrawn, and completes a withdrawal once all readers polled from past its tombstone. Its
// responses are late or lost, and requests reach it after their callers have given up. It also is
// the buffer of what clients have not got yet.
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
	faults          []string
	delivered       int
	cuts            int
	finishes        int
}

func (c *modelLeader) fail(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *modelLeader) roll(limit int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(limit)
}

func (c *modelLeader) delay() {
	duration := time.Duration(c.roll(20)) * time.Millisecond
	if c.roll(12) == 0 {
		duration = time.Duration(c.roll(1500)) * time.Millisecond
	}
	time.Sleep(duration)
}

func (c *modelLeader) isWithdrawn(entry log.Entry) bool {
	return entry.Key != "" && entry.Type == log.TypeMessage && c.tombstones.covers(entry.Topic, entry.Key, entry.Offset)
}

// completeWithdrawals completes the withdrawals that all readers have read past.
func (c *modelLeader) completeWithdrawals() {
	c.openWithdrawals = slices.DeleteFunc(c.openWithdrawals, func(entry log.Entry) bool {
		for _, offset := range c.readers {
			if offset < entry.Offset {
				return false
			}
		}
		c.finished.add(entry)
		return true
	})
}

func (c *modelLeader) appendEntry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := log.Entry{
		Offset: uint64(len(c.entries) + 1),
		Type:   log.TypeMessage,
		Topic:  []string{"a", "b"}[c.random.IntN(2)],
		Key:    []string{"", "k", "j"}[c.random.IntN(3)],
	}
	if entry.Key != "" && c.random.IntN(3) == 0 {
		entry.Type = log.TypeWithdrawal
	}
	c.entries = append(c.entries, entry)
	if entry.Type == log.TypeWithdrawal {
		c.tombstones.add(entry)
		c.openWithdrawals = append(c.openWithdrawals, entry)
		c.completeWithdrawals()
	}
}

// read returns the wanted entries after an offset, and counts the reader before it returns anything
// with a key.
func (c *modelLeader) read(boot string, from uint64, want func(log.Entry) bool) []log.Entry {
	var entries []log.Entry
	for _, entry := range c.entries[from:] {
		if want(entry) && !c.isWithdrawn(entry) {
			entries = append(entries, entry)
		}
	}
	if _, ok := c.readers[boot]; hasKeys(entries) && !ok {
		c.readers[boot] = 0
	}
	return entries
}

func (c *modelLeader) handleFollow(request *leader.FollowRequest) *leader.FollowResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	continues := request.BootID == c.bootID && request.BaseSequence == c.sequence
	if request.Sequence <= c.sequence || !request.Full && !continues {
		return &leader.FollowResponse{Epoch: 1, UnknownFollower: true}
	}
	if request.Full {
		c.topics = map[string]int{}
	}
	if request.BootID != c.bootID {
		clear(c.readers)
	}
	c.bootID, c.sequence = request.BootID, request.Sequence
	if request.Finished {
		c.finishes++
		delete(c.readers, request.BootID)
	}
	c.completeWithdrawals()
	for topic, count := range request.Topics {
		c.topics[topic] = count
	}
	response := &leader.FollowResponse{
		Epoch:        1,
		CommittedEnd: uint64(len(c.entries)),
		BacklogEnd:   uint64(len(c.entries)),
	}
	response.Backlog = c.read(request.BootID, 0, func(entry log.Entry) bool {
		offset, ok := request.After[entry.Topic]
		return ok && entry.Offset > offset
	})
	if request.FirstOnly && len(response.Backlog) > 1 {
		response.BacklogEnd = response.Backlog[1].Offset - 1
		response.Backlog = response.Backlog[:1]
	}
	return response
}

func (c *modelLeader) handlePoll(request *leader.PollRequest) *leader.PollResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.BootID != c.bootID || request.Sequence > c.sequence {
		return &leader.PollResponse{Epoch: 1, UnknownFollower: true}
	}
	if offset, ok := c.readers[request.BootID]; ok {
		c.readers[request.BootID] = max(offset, request.From)
		c.completeWithdrawals()
	}
	response := &leader.PollResponse{Epoch: 1, To: uint64(len(c.entries))}
	follows := func(entry log.Entry) bool { return entry.Type == log.TypeMessage && c.topics[entry.Topic] > 0 }
	response.Entries = c.read(request.BootID, request.From, follows)
	if _, ok := c.readers[request.BootID]; ok {
		response.Entries = c.read(request.BootID, request.From, func(entry log.Entry) bool {
			return entry.Type == log.TypeWithdrawal || follows(entry)
		})
	}
	if len(response.Entries) == 0 && request.MaxWait > 0 {
		return nil
	}
	return response
}

// callLossy has a request answered, or the response lost, whatever becomes of the caller.
func callLossy[A any](ctx context.Context, model *modelLeader, handle func() *A) (*A, error) {
	responses := make(chan *A, 1)
	go func() {
		model.delay()
		response := handle()
		model.delay()
		if model.roll(10) > 0 {
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

func (c *modelLeader) Follow(
	ctx context.Context, _ assignment.Record, request *leader.FollowRequest,
) (*leader.FollowResponse, error) {
	return callLossy(ctx, c, func() *leader.FollowResponse { return c.handleFollow(request) })
}

func (c *modelLeader) Poll(
	ctx context.Context, _ assignment.Record, request *leader.PollRequest,
) (*leader.PollResponse, error) {
	callCtx, stop := context.WithTimeout(ctx, request.MaxWait+settings.DefaultTiming.CallTimeout())
	defer stop()
	until := time.Now().Add(request.MaxWait)
	return callLossy(callCtx, c, func() *leader.PollResponse {
		for {
			if time.Now().After(until) {
				request.MaxWait = 0
			}
			if response := c.handlePoll(request); response != nil {
				return response
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// connection is that of a client.
type connection struct {
	queued, inFlight []log.Entry
	flushing, closed bool
}

func (c *modelLeader) enqueue(client *connection, entry log.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client.closed {
		return
	}
	client.queued = append(client.queued, entry)
	if !client.flushing {
		client.flushing = true
		go c.flush(client)
	}
}

// flush writes what is queued; what the client has read counts as delivered.
func (c *modelLeader) flush(client *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(client.queued) > 0 && !client.closed {
		client.inFlight, client.queued = client.queued, nil
		duration := time.Duration(c.random.IntN(10)) * time.Millisecond
		if c.random.IntN(20) == 0 {
			duration = time.Duration(c.random.IntN(6000)) * time.Millisecond
		}
		c.mu.Unlock()
		time.Sleep(duration)
		c.mu.Lock()
		for _, entry := range client.inFlight {
			if entry.Type == log.TypeMessage && entry.Key != "" && c.finished.covers(
				entry.Topic, entry.Key, entry.Offset,
			) {
				c.fail("%s %s at %d was delivered after its withdrawal finished", entry.Topic, entry.Key, entry.Offset)
			}
			c.delivered++
		}
		client.inFlight = nil
	}
	client.flushing = false
}

func (c *modelLeader) drop(cut bool, covers func(log.Entry) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	released := true
	for _, client := range c.connections {
		client.queued = slices.DeleteFunc(client.queued, covers)
		if slices.ContainsFunc(client.inFlight, covers) {
			if cut {
				client.closed, client.queued, client.inFlight = true, nil, nil
				c.cuts++
			}
			released = released && cut
		}
	}
	return released
}

func (c *modelLeader) Withdraw(_ int, covered WithdrawnFunc) {
	c.drop(true, func(entry log.Entry) bool {
		return entry.Type == log.TypeMessage && entry.Key != "" && covered(entry.Topic, entry.Key, entry.Offset)
	})
}

func (c *modelLeader) Release(_ int, cut bool) bool {
	return c.drop(cut, func(entry log.Entry) bool { return entry.Type == log.TypeMessage && entry.Key != "" })
}

// runClient subscribes and unsubscribes again and again, at any cursor.
func (c *modelLeader) runClient(hub *Hub, until time.Time) {
	var client *connection
	for time.Now().Before(until) {
		c.mu.Lock()
		if client == nil || client.closed {
			client = &connection{}
			c.connections = append(c.connections, client)
		}
		client := client
		subscription := hub.NewSubscription(0, []string{"a", "b"}[c.random.IntN(2)])
		if count := len(c.entries); c.random.IntN(3) > 0 && count > 0 {
			subscription.After = offsetPointer(uint64(count - c.random.IntN(min(count, 60))))
		}
		c.mu.Unlock()
		var position uint64
		subscription.OnOpen = func(offset uint64, _ error) { position = offset }
		subscription.OnEntry = func(entry log.Entry) {
			c.mu.Lock()
			for _, first := range c.entries[position : entry.Offset-1] {
				if first.Topic == subscription.Topic && first.Key == "" {
					c.fail("%s at %d was skipped", first.Topic, first.Offset)
				}
			}
			if entry.Offset <= position {
				c.fail("%s at %d was delivered after %d", entry.Topic, entry.Offset, position)
			}
			c.mu.Unlock()
			position = entry.Offset
			c.enqueue(client, entry)
		}
		subscription.OnBroken = func() {}
		hub.Subscribe(subscription)
		time.Sleep(time.Duration(c.roll(2000)) * time.Millisecond)
		hub.Unsubscribe(subscription)
		c.mu.Lock()
		client.queued = slices.DeleteFunc(client.queued, func(entry log.Entry) bool {
			return entry.Key != "" && entry.Topic == subscription.Topic
		})
		c.mu.Unlock()
		if c.roll(3) == 0 {
			time.Sleep(time.Duration(c.roll(6000)) * time.Millisecond)
		}
	}
}

// However requests, responses and writes race with withdrawals, nothing is delivered after the
// withdrawal that covers it finished, each withdrawal completes, and nothing else is skipped.
func TestNothingIsDeliveredAfterWithdrawalCompletes(t *testing.T) {
	delivered, cuts, finishes := 0, 0, 0
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
				time.Sleep(time.Duration(model.roll(40)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			model.mu.Lock()
			assert.Equal(t, len(model.faults), 0, "seed %d: %v", seed, model.faults)
			assert.Equal(
				t, len(model.openWithdrawals), 0, "seed %d: withdrawals not finished, readers %v", seed,
				model.readers,
			)
			delivered, cuts, finishes = delivered+model.delivered, cuts+model.cuts, finishes+model.finishes
			model.mu.Unlock()
			stop()
			time.Sleep(time.Minute)
		})
	}
	assert.Assert(
		t, delivered > 1000 && cuts > 10 && finishes > 10, "%d delivered, %d cut, %d finished", delivered, cuts,
		finishes,
	)
	t.Logf("%d delivered, %d connections cut, %d times finished", delivered, cuts, finishes)
}
