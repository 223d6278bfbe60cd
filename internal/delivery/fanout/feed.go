package fanout

import (
	"context"
	"strconv"
	"sync"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
)

// feed holds what one node follows of one partition.
type feed struct {
	hub       *Hub
	partition int
	// wakeups ends the waits of followLoop.
	wakeups chan struct{}

	// mu guards the fields below and the state of the feed's subscriptions.
	mu            sync.Mutex
	subscriptions map[string]map[*Subscription]bool
	// pending are subscriptions that wait for a response to Follow.
	pending []*Subscription

	// bootID names what this feed holds at the leader, by the count of its restarts; it changes
	// after the leader told the feed to reset, and after the feed reported that it is finished.
	bootID    string
	bootCount int
	// readerToken was assigned to this boot ID by the leader.
	readerToken uint64
	// isReader: the leader may wait for this node to read withdrawals.
	isReader bool
	// lastHeard is when a leader last answered.
	lastHeard time.Time
	// highestEpoch is the highest epoch that answered; lower ones are superseded.
	highestEpoch uint64

	// The registration with the leader (follow.go). changed are topics whose count of subscriptions
	// the leader has not got yet. reportDue: it is to get them now; dropReportScheduled: it will
	// after a while.
	changed             map[string]bool
	reportDue           bool
	dropReportScheduled bool
	// sequence is that of the newest Follow, ackedSequence that of the newest one that was
	// acknowledged.
	sequence      uint64
	ackedSequence uint64
	// mustResend: the leader does not have the registration, all topics are to be sent again.
	mustResend  bool
	isFollowing bool
	// followInFlight: a Follow is under way, whose response may be older than tombstones, which
	// were polled meanwhile.
	followInFlight bool
	tombstones     tombstones
	// registered is closed, and replaced, with each acknowledged Follow.
	registered chan struct{}

	// The position in the log (poll.go). hasPosition: all entries of the topics up to readTo were
	// read; base is the offset that the leader retains from.
	hasPosition bool
	readTo      uint64
	base        uint64
	// generation is that of polls whose responses count.
	generation uint64
	isPolling  bool
	cancelPoll context.CancelFunc
	// polledEpoch and recordVersion are those of the record that is polled.
	polledEpoch   uint64
	recordVersion uint64

	// The end of a reader (finish.go).
	isReleasing bool
	isFinished  bool
	// suspensions count reasons not to call Follow: buffers are being released.
	suspensions  int
	cancelFinish context.CancelFunc
}

func newFeed(hub *Hub, partition int) *feed {
	return &feed{
		hub:           hub,
		partition:     partition,
		bootID:        hub.bootID,
		subscriptions: map[string]map[*Subscription]bool{},
		changed:       map[string]bool{},
		wakeups:       make(chan struct{}, 1),
		registered:    make(chan struct{}),
	}
}

func (f *feed) remove(s *Subscription) {
	s.removed, s.queued = true, nil
	delete(f.subscriptions[s.Topic], s)
	if len(f.subscriptions[s.Topic]) == 0 {
		delete(f.subscriptions, s.Topic)
	}
	f.changed[s.Topic] = true
	if len(f.subscriptions) == 0 {
		f.generation++
	}
}

// wake has the leader informed of all that changed.
func (f *feed) wake() {
	f.reportDue = true
	if !f.isFollowing {
		f.isFollowing = true
		go f.followLoop(f.hub.ctx)
		return
	}
	f.signal()
}

func (f *feed) signal() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// reportDropsLater has the leader informed of dropped topics after a while, unless another report
// takes them along: clients that drop a topic often come back.
func (f *feed) reportDropsLater() {
	if f.dropReportScheduled {
		return
	}
	f.dropReportScheduled = true
	go func() {
		_ = f.hub.clock.Sleep(f.hub.ctx, f.hub.timing.LongPoll())
		f.mu.Lock()
		defer f.mu.Unlock()
		f.dropReportScheduled = false
		if len(f.changed) > 0 {
			f.wake()
		}
	}()
}

// recordChanged ends a poll of a leader that the record no longer names.
func (f *feed) recordChanged(record assignment.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if record.Version == f.recordVersion && record.Epoch == f.polledEpoch {
		return
	}
	f.recordVersion = record.Version
	if record.Epoch != f.polledEpoch {
		f.polledEpoch = record.Epoch
		if f.cancelPoll != nil {
			f.cancelPoll()
		}
	}
	f.signal()
}

// isRetained reports whether the messages of a topic are kept for clients that come back.
func (f *feed) isRetained(topic string) bool {
	space, err := f.hub.store.Index().Find(topic)
	return err == nil && space.Kind != configuration.KindLive
}

// isIsolated reports whether the leader may wait for this node as a reader though no leader has
// answered for the recovery time.
func (f *feed) isIsolated() bool {
	return f.isReader && f.readerToken > 0 && f.hub.clock.Now().Sub(f.lastHeard) > f.hub.timing.Recovery
}

// nextBoot continues under another boot ID, which the leader knows nothing of.
func (f *feed) nextBoot() {
	f.bootCount++
	f.bootID = f.hub.bootID + "+" + strconv.Itoa(f.bootCount)
	f.readerToken = 0
	f.isFinished = false
}

// backoff returns a channel that is closed after the pause of an attempt or at the end of ctx.
func (f *feed) backoff(ctx context.Context, attempt int) <-chan struct{} {
	elapsed := make(chan struct{})
	go func() {
		_ = f.hub.clock.Sleep(ctx, f.hub.timing.Backoff(attempt))
		close(elapsed)
	}()
	return elapsed
}
