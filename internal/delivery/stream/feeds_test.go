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
	for deadline := time.Now().Add(request.MaxWait); ; {
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
		if (request.IgnoreProgress || request.From == ^uint64(0)) && block != nil {
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
		if request.BootID == bootID && !request.IgnoreProgress && !request.Finished && request.From != ^uint64(0) {
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

func (f *fixture) cached(offset uint64) Window {
	window, ok := f.feed.Cached(offset)
	assert.Assert(f, ok)
	return window
}

func (f *fixture) status(window Window, index int) EntryStatus {
	status, end := f.feed.BeginWrite(window, window.Entries[index], func() {})
	if status == EntryDeliverable {
		end()
	}
	return status
}

func TestFeeds(t *testing.T) {
	for name, test := range map[string]func(f *fixture){
		"a withdrawal applies to the cache and earlier windows, not to later messages under its key": func(f *fixture) {
			f.leader.write(log.TypeMessage, "k", "old")
			f.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			window := f.cached(0)
			f.leader.write(log.TypeWithdrawal, "k", "")
			f.leader.write(log.TypeMessage, "k", "new")
			synctest.Wait()
			assert.Equal(f, f.status(window, 0), EntryWithdrawn)
			assert.Equal(f, f.status(window, 1), EntryDeliverable)
			later := f.cached(0)
			assert.Equal(f, fmt.Sprintf("%s %v", later.Entries[0].Body, later.Entries[0].BodyDropped), " true")
			assert.Equal(f, string(later.Entries[1].Body)+string(later.Entries[3].Body), "othernew")
			assert.Equal(f, string(window.Entries[0].Body), "old")
			assert.Equal(f, f.status(later, 3), EntryDeliverable)
			position, _ := f.leader.readPosition("b.1")
			assert.Equal(f, position, uint64(4))
		},
		"a withdrawal applies to a late response to an earlier call": func(f *fixture) {
			for range 3 {
				f.leader.write(log.TypeMessage, "k", "old")
			}
			synctest.Wait()
			f.feed.mu.Lock()
			f.feed.entries, f.feed.receivedAt, f.feed.base = nil, nil, f.feed.end
			f.feed.mu.Unlock()
			f.leader.set(func() { f.leader.block = make(chan struct{}) })
			fetched := make(chan Window, 1)
			go func() {
				window, err := f.feed.Fetch(f.Context(), 1)
				assert.Check(f, err)
				fetched <- window
			}()
			synctest.Wait()
			f.leader.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			close(f.leader.block)
			window := <-fetched
			assert.Equal(f, string(window.Entries[0].Body), "old")
			assert.Equal(f, f.status(window, 0), EntryWithdrawn)
			position, _ := f.leader.readPosition("b.1")
			assert.Equal(f, position, uint64(4))
		},
		"a write in flight is aborted and has ended before anything after the tombstone is read": func(f *fixture) {
			f.leader.write(log.TypeMessage, "k", "old")
			f.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			window := f.cached(0)
			aborted := make(chan bool, 3)
			_, end := f.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			_, endOther := f.feed.BeginWrite(window, window.Entries[1], func() { aborted <- false })
			f.leader.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			assert.Equal(f, len(aborted), 1)
			assert.Assert(f, <-aborted)
			time.Sleep(10 * time.Second)
			position, _ := f.leader.readPosition("b.1")
			assert.Equal(f, position, uint64(2))
			assert.Equal(f, len(f.cached(2).Entries), 1)
			end()
			synctest.Wait()
			position, _ = f.leader.readPosition("b.1")
			assert.Equal(f, position, uint64(3))
			endOther()
		},
		"too many tombstones make windows stale": func(f *fixture) {
			f.leader.write(log.TypeMessage, "k", "old")
			f.leader.write(log.TypeMessage, "", "without")
			synctest.Wait()
			window := f.cached(0)
			f.leader.write(log.TypeWithdrawal, "k", "")
			for i := range maxTombstones {
				f.leader.write(log.TypeWithdrawal, fmt.Sprint(i), "")
			}
			synctest.Wait()
			f.feed.mu.Lock()
			count := len(f.feed.tombstones)
			f.feed.mu.Unlock()
			assert.Assert(f, count <= maxTombstones)
			assert.Equal(f, f.status(window, 0), EntryStale)
			assert.Equal(f, f.status(window, 1), EntryDeliverable)
			assert.Assert(f, f.cached(0).Entries[0].BodyDropped)
		},
		"skipped tombstones make windows stale and abort writes": func(f *fixture) {
			f.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			window := f.cached(0)
			aborted := make(chan bool, 1)
			_, end := f.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			f.leader.set(func() {
				for range 5 {
					f.leader.entries = append(f.leader.entries, log.Entry{})
				}
				f.leader.base = 6
			})
			f.leader.write(log.TypeMessage, "m", "far")
			synctest.Wait()
			assert.Equal(f, len(aborted), 1)
			end()
			assert.Equal(f, f.status(window, 0), EntryStale)
			synctest.Wait()
			assert.Equal(f, string(f.cached(6).Entries[0].Body), "far")
		},
		"a reader that the leader gave up is reset and continues under another boot ID": func(f *fixture) {
			f.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			window := f.cached(0)
			aborted := make(chan bool, 1)
			_, end := f.feed.BeginWrite(window, window.Entries[0], func() { aborted <- true })
			f.leader.set(func() { f.leader.resets, f.leader.block = map[string]bool{"b.1": true}, make(chan struct{}) })
			f.leader.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			assert.Equal(f, len(aborted), 1)
			end()
			synctest.Wait()
			assert.Equal(f, f.status(window, 0), EntryStale)
			_, ok := f.feed.Cached(0)
			assert.Assert(f, !ok)
			close(f.leader.block)
			synctest.Wait()
			assert.Equal(f, f.feed.CommittedEnd(), uint64(2))
			f.leader.write(log.TypeMessage, "m", "new")
			synctest.Wait()
			assert.Equal(f, string(f.cached(2).Entries[0].Body), "new")
			f.leader.set(func() {
				request := f.leader.requests[len(f.leader.requests)-1]
				assert.Check(f, request.BootID != "b.1" && request.From == 3, "%+v", request)
			})
		},
		"nothing is accepted from a leader that is known to be superseded": func(f *fixture) {
			f.leader.set(func() { f.leader.epoch = 7 })
			f.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			f.leader.set(func() { f.leader.epoch = 6 })
			f.leader.write(log.TypeMessage, "k", "of the older leader")
			time.Sleep(time.Second)
			assert.Equal(f, f.feed.CommittedEnd(), uint64(1))
			f.leader.set(func() { f.leader.epoch = 8 })
			time.Sleep(time.Second)
			assert.Equal(f, f.feed.CommittedEnd(), uint64(2))
		},
		"the last stream that leaves finishes the reader, and the next one is another": func(f *fixture) {
			_, leaveSecond, err := f.feeds.Follow(f.Context(), 0, make(chan struct{}, 1))
			assert.NilError(f, err)
			f.leave()
			synctest.Wait()
			_, finished := f.leader.readPosition("b.1")
			assert.Assert(f, !finished)
			leaveSecond()
			synctest.Wait()
			_, finished = f.leader.readPosition("b.1")
			assert.Assert(f, finished)
			feed, leave, err := f.feeds.Follow(f.Context(), 0, make(chan struct{}, 1))
			assert.NilError(f, err)
			defer leave()
			assert.Assert(f, feed.bootID != "b.1")
		},
		"a reader token is sent with the next call": func(f *fixture) {
			f.leader.set(func() { f.leader.readerToken = 9 })
			f.leader.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			f.leader.set(func() { assert.Check(f, f.leader.requests[len(f.leader.requests)-1].ReaderToken == 9) })
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
