package stream

import (
	"context"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

const (
	// fromEnd requests no entries, only the end of the log.
	fromEnd = ^uint64(0)
	// maxFinishAttempts is how many times an abandoned reader is reported as finished to a leader
	// that does not answer. The time-out of each attempt is finishTimeoutBackoffs times the longest
	// backoff.
	maxFinishAttempts     = 3
	finishTimeoutBackoffs = 2
)

// Feed caches the newest part of one partition's committed log for the streams of a node.
type Feed struct {
	feeds     *Feeds
	partition int
	cancel    context.CancelFunc
	// opened is closed after the first read, finished after the feed reported to the leader that it
	// is finished.
	opened   chan struct{}
	finished chan struct{}

	// mu guards all fields below.
	mu        sync.Mutex
	followers map[*follower]bool
	// bootID identifies the feed as a reader. readerToken was assigned to it by the leader.
	bootID      string
	readerToken uint64
	// epoch is the highest epoch of a leader that answered.
	epoch uint64

	// entries are the cached entries after base up to end. receivedAt has the time of each, bytes
	// is their total cost.
	base       uint64
	end        uint64
	entries    []log.Entry
	receivedAt []time.Time
	bytes      int
	// generation is the current generation of windows. The tombstones don't suffice to judge the
	// entries of an older one.
	generation uint64
	tombstones map[messageKey]uint64
	writes     map[*write]bool
}

// follower is a stream that follows a feed.
type follower struct{ wake chan struct{} }

func newFeed(feeds *Feeds, partition int, bootID string, cancel context.CancelFunc) *Feed {
	return &Feed{
		feeds:      feeds,
		partition:  partition,
		bootID:     bootID,
		cancel:     cancel,
		opened:     make(chan struct{}),
		finished:   make(chan struct{}),
		followers:  map[*follower]bool{},
		tombstones: map[messageKey]uint64{},
		writes:     map[*write]bool{},
	}
}

// CommittedEnd returns the offset at which the committed log ended when it was last read.
func (f *Feed) CommittedEnd() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

// run reads the log until ctx ends, and then reports that the feed is finished.
func (f *Feed) run(ctx context.Context) {
	clock, timing := f.feeds.clock, f.feeds.timing
	isOpen, isFirst, lastHeard := false, true, clock.Now()
	for ctx.Err() == nil {
		response, err := f.readNext(ctx, isFirst)
		if err != nil {
			if clock.Now().Sub(lastHeard) > timing.Recovery && f.abandon() {
				isFirst, lastHeard = true, clock.Now()
			}
			_ = clock.Sleep(ctx, timing.MaxBackoff())
			continue
		}
		lastHeard = clock.Now()
		if response.MustReset {
			f.reset(f.feeds.nextBootID())
			isFirst = true
			continue
		}
		waitWrites(f.apply(response, isFirst))
		isFirst = false
		if !isOpen {
			isOpen = true
			close(f.opened)
		}
	}
	f.reportFinished()
	f.feeds.remove(f)
	close(f.finished)
}

// readNext reads the entries after the cached ones, or only the end of the log.
func (f *Feed) readNext(ctx context.Context, isFirst bool) (*leader.ReadResponse, error) {
	from := fromEnd
	if !isFirst {
		from = f.CommittedEnd()
	}
	ctx, cancel := context.WithTimeout(ctx, f.feeds.timing.Recovery)
	defer cancel()
	return f.call(ctx, &leader.ReadRequest{From: from, MaxWait: f.feeds.timing.LongPoll()})
}

// call reads as the feed's reader. It rejects the response of a leader that is known to be
// superseded.
func (f *Feed) call(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error) {
	f.mu.Lock()
	request.Partition, request.Node, request.TracksTombstones = f.partition, f.feeds.node, true
	request.BootID, request.ReaderToken = f.bootID, f.readerToken
	f.mu.Unlock()
	bootID := request.BootID
	response, err := f.feeds.source.ReadAsReader(ctx, request)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if response.Epoch < f.epoch {
		return nil, apierror.New(apierror.NotPartitionLeader, "partition %d answered with epoch %d after epoch %d",
			f.partition, response.Epoch, f.epoch)
	}
	f.epoch = response.Epoch
	if response.ReaderToken > 0 && bootID == f.bootID {
		f.readerToken = response.ReaderToken
	}
	return response, nil
}

// reportFinished reports to the leader that the feed no longer has messages. It repeats the report
// until the leader answers.
func (f *Feed) reportFinished() {
	feeds := f.feeds
	for feeds.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(feeds.ctx, feeds.timing.Recovery)
		_, err := f.call(ctx, &leader.ReadRequest{From: fromEnd, Finished: true})
		cancel()
		if err == nil {
			return
		}
		_ = feeds.clock.Sleep(feeds.ctx, feeds.timing.MaxBackoff())
	}
}

// reset drops all messages of the feed and continues as another reader.
func (f *Feed) reset(bootID string) {
	f.mu.Lock()
	aborted := f.dropAll()
	f.base, f.bootID, f.readerToken = f.end, bootID, 0
	f.mu.Unlock()
	waitWrites(aborted)
}

// abandon resets a feed whose leader does not answer, and reports that under the old boot ID: the
// leader may receive requests even where its responses are lost. It returns false if there was
// nothing that a leader may wait for.
func (f *Feed) abandon() bool {
	feeds := f.feeds
	f.mu.Lock()
	request := &leader.ReadRequest{
		Partition:        f.partition,
		Node:             feeds.node,
		BootID:           f.bootID,
		ReaderToken:      f.readerToken,
		TracksTombstones: true,
		From:             fromEnd,
		Finished:         true,
	}
	f.mu.Unlock()
	if request.ReaderToken == 0 {
		return false
	}
	f.reset(feeds.nextBootID())
	for attempt := range maxFinishAttempts {
		ctx, cancel := context.WithTimeout(feeds.ctx, finishTimeoutBackoffs*feeds.timing.MaxBackoff())
		_, err := feeds.source.ReadAsReader(ctx, request)
		cancel()
		if err == nil || feeds.clock.Sleep(feeds.ctx, feeds.timing.Backoff(attempt)) != nil {
			break
		}
	}
	return true
}
