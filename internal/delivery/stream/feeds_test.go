package stream

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// fakeLeader is a leader whose log a test writes.
type fakeLeader struct {
	mu          sync.Mutex
	entries     []log.Entry
	base        uint64
	epoch       uint64
	requests    []leader.ReadRequest
	readerToken uint64
	resets      map[string]bool
	block       chan struct{}
	written     chan struct{}
}

func (l *fakeLeader) ReadAsReader(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error) {
	for deadline := time.Now().Add(request.Hold); ; {
		l.mu.Lock()
		l.requests = append(l.requests, *request)
		response := &leader.ReadResponse{
			Base:        l.base,
			To:          uint64(len(l.entries)),
			Epoch:       l.epoch,
			ReaderToken: l.readerToken,
		}
		block, written := l.block, l.written
		switch {
		case l.resets[request.BootID]:
			response.MustReset = true
		case request.From < response.To:
			response.Entries = append(response.Entries, l.entries[max(request.From, l.base):]...)
		}
		l.mu.Unlock()
		if (request.Beside || request.From == ^uint64(0)) && block != nil {
			<-block
		}
		remaining := time.Until(deadline)
		if response.MustReset || len(response.Entries) > 0 || remaining <= 0 || request.From == ^uint64(0) {
			return response, nil
		}
		waitCtx, stop := context.WithTimeout(ctx, remaining)
		select {
		case <-written:
		case <-waitCtx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func (l *fakeLeader) write(entryType, key, body string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(
		l.entries,
		log.Entry{Offset: uint64(len(l.entries)) + 1, Type: entryType, Topic: "t", Key: key, Body: []byte(body)},
	)
	close(l.written)
	l.written = make(chan struct{})
	return uint64(len(l.entries))
}

func (l *fakeLeader) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// readPosition returns the offset up to which the reader of a boot ID has confirmed its reads, and
// whether it is finished.
func (l *fakeLeader) readPosition(bootID string) (offset uint64, finished bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range l.requests {
		if request.BootID == bootID && !request.Beside && !request.Finished && request.From != ^uint64(0) {
			offset = max(offset, request.From)
		}
		finished = finished || request.BootID == bootID && request.Finished
	}
	return offset, finished
}

type fixture struct {
	*testing.T
	leader *fakeLeader
	feeds  *Feeds
	feed   *Feed
	leave  func()
}

func (x *fixture) cached(offset uint64) Window {
	window, ok := x.feed.Cached(offset)
	assert.Assert(x, ok)
	return window
}

func (x *fixture) status(window Window, index int) EntryStatus {
	status, end := x.feed.BeginWrite(window, window.Entries[index], func() {})
	if status == EntryDeliverable {
		end()
	}
	return status
}

func TestFeeds(t *testing.T) {
	for name, test := range map[string]func(x *fixture){
		"a withdrawal applies to the cache and earlier windows, not to later messages under its key": func(x *fixture) {
			x.leader.write(log.TypeMessage, "k", "old")
			x.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			window := x.cached(0)
			x.leader.write(log.TypeWithdrawal, "k", "")
			x.leader.write(log.TypeMessage, "k", "new")
			synctest.Wait()
			assert.Equal(x, x.status(window, 0), EntryWithdrawn)
			assert.Equal(x, x.status(window, 1), EntryDeliverable)
			later := x.cached(0)
			assert.Equal(x, fmt.Sprintf("%s %v", later.Entries[0].Body, later.Entries[0].BodyDropped), " true")
			assert.Equal(x, string(later.Entries[1].Body)+string(later.Entries[3].Body), "othernew")
			assert.Equal(x, string(window.Entries[0].Body), "old")
			assert.Equal(x, x.status(later, 3), EntryDeliverable)
			position, _ := x.leader.readPosition("b.1")
			assert.Equal(x, position, uint64(4))
		},
		"a withdrawal applies to a late response to an earlier call": func(x *fixture) {
			for range 3 {
				x.leader.write(log.TypeMessage, "k", "old")
			}
			synctest.Wait()
			x.feed.mu.Lock()
			x.feed.entries, x.feed.receivedAt, x.feed.base = nil, nil, x.feed.end
			x.feed.mu.Unlock()
			x.leader.set(func() { x.leader.block = make(chan struct{}) })
			got := make(chan Window, 1)
			go func() {
				window, err := x.feed.Fetch(x.Context(), 1)
				assert.Check(x, err)
				got <- window
			}()
			synctest.Wait()
			x.leader.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			close(x.leader.block)
			window := <-got
			assert.Equal(x, string(window.Entries[0].Body), "old")
			assert.Equal(x, x.status(window, 0), EntryWithdrawn)
			position, _ := x.leader.readPosition("b.1")
			assert.Equal(x, position, uint64(4))
		},
		"a write in flight is aborted and has ended before anything after the tombstone is read": func(x *fixture) {
			x.leader.write(log.TypeMessage, "k", "old")
			x.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			window := x.cached(0)
			aborted := make(chan bool, 3)
			_, end := x.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			_, endOther := x.feed.BeginWrite(window, window.Entries[1], func() { aborted <- false })
			x.leader.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			assert.Equal(x, len(aborted), 1)
			assert.Assert(x, <-aborted)
			time.Sleep(10 * time.Second)
			position, _ := x.leader.readPosition("b.1")
			assert.Equal(x, position, uint64(2))
			assert.Equal(x, len(x.cached(2).Entries), 1)
			end()
			synctest.Wait()
			position, _ = x.leader.readPosition("b.1")
			assert.Equal(x, position, uint64(3))
			endOther()
		},
		"too many tombstones make windows stale": func(x *fixture) {
			x.leader.write(log.TypeMessage, "k", "old")
			x.leader.write(log.TypeMessage, "", "without")
			synctest.Wait()
			window := x.cached(0)
			x.leader.write(log.TypeWithdrawal, "k", "")
			for i := range maxTombstones {
				x.leader.write(log.TypeWithdrawal, fmt.Sprint(i), "")
			}
			synctest.Wait()
			x.feed.mu.Lock()
			count := len(x.feed.tombstones)
			x.feed.mu.Unlock()
			assert.Assert(x, count <= maxTombstones)
			assert.Equal(x, x.status(window, 0), EntryStale)
			assert.Equal(x, x.status(window, 1), EntryDeliverable)
			assert.Assert(x, x.cached(0).Entries[0].BodyDropped)
		},
		"skipped tombstones make windows stale and abort writes": func(x *fixture) {
			x.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			window := x.cached(0)
			aborted := make(chan bool, 1)
			_, end := x.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			x.leader.set(func() {
				for range 5 {
					x.leader.entries = append(x.leader.entries, log.Entry{})
				}
				x.leader.base = 6
			})
			x.leader.write(log.TypeMessage, "m", "far")
			synctest.Wait()
			assert.Equal(x, len(aborted), 1)
			end()
			assert.Equal(x, x.status(window, 0), EntryStale)
			synctest.Wait()
			assert.Equal(x, string(x.cached(6).Entries[0].Body), "far")
		},
		"a reader that the leader gave up is reset and continues under another boot ID": func(x *fixture) {
			x.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			window := x.cached(0)
			aborted := make(chan bool, 1)
			_, end := x.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			x.leader.set(func() { x.leader.resets, x.leader.block = map[string]bool{"b.1": true}, make(chan struct{}) })
			x.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			assert.Equal(x, len(aborted), 1)
			end()
			synctest.Wait()
			assert.Equal(x, x.status(window, 0), EntryStale)
			_, ok := x.feed.Cached(0)
			assert.Assert(x, !ok)
			close(x.leader.block)
			synctest.Wait()
			assert.Equal(x, x.feed.CommittedEnd(), uint64(2))
			x.leader.write(log.TypeMessage, "m", "new")
			synctest.Wait()
			assert.Equal(x, string(x.cached(2).Entries[0].Body), "new")
			x.leader.set(func() {
				request := x.leader.requests[len(x.leader.requests)-1]
				assert.Check(x, request.BootID != "b.1" && request.From == 3, "%+v", request)
			})
		},
		"nothing is accepted from a leader that is known to be superseded": func(x *fixture) {
			x.leader.set(func() { x.leader.epoch = 7 })
			x.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			x.leader.set(func() { x.leader.epoch = 6 })
			x.leader.write(log.TypeMessage, "k", "of the older leader")
			time.Sleep(time.Second)
			assert.Equal(x, x.feed.CommittedEnd(), uint64(1))
			x.leader.set(func() { x.leader.epoch = 8 })
			time.Sleep(time.Second)
			assert.Equal(x, x.feed.CommittedEnd(), uint64(2))
		},
		"the last stream that leaves finishes the reader, and the next one is another": func(x *fixture) {
			_, leaveSecond, err := x.feeds.Follow(x.Context(), 0, make(chan struct{}, 1))
			assert.NilError(x, err)
			x.leave()
			synctest.Wait()
			_, finished := x.leader.readPosition("b.1")
			assert.Assert(x, !finished)
			leaveSecond()
			synctest.Wait()
			_, finished = x.leader.readPosition("b.1")
			assert.Assert(x, finished)
			feed, leave, err := x.feeds.Follow(x.Context(), 0, make(chan struct{}, 1))
			assert.NilError(x, err)
			defer leave()
			assert.Assert(x, feed.bootID != "b.1")
		},
		"a reader token is sent with the next call": func(x *fixture) {
			x.leader.set(func() { x.leader.readerToken = 9 })
			x.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			x.leader.set(func() { assert.Check(x, x.leader.requests[len(x.leader.requests)-1].ReaderToken == 9) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				leader := &fakeLeader{written: make(chan struct{})}
				feeds := New(ctx, "a1", "b", leader, clock.Real{}, settings.DefaultTiming)
				feed, leave, err := feeds.Follow(ctx, 0, make(chan struct{}, 1))
				assert.NilError(t, err)
				test(&fixture{t, leader, feeds, feed, leave})
				stop()
				synctest.Wait()
			})
		})
	}
}
