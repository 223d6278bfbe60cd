package fanout

import (
	"context"
	"strconv"
	"sync"
	"time"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
)

// feed is the state of one node's subscriptions to one partition.
type feed struct {
	hub       *Hub
	partition int
	// wakeups interrupts the waits of followLoop.
	wakeups chan struct{}

	// mu guards all fields below and the state of the feed's subscriptions.
	mu            sync.Mutex
	subscriptions map[string]map[*Subscription]bool
	// pending are subscriptions that wait for a response to Follow.
	pending []*Subscription

	// bootID identifies this feed's registration at the leader: the boot ID of the hub with the
	// number of renewals. It changes after the leader asked for a reset, and after the feed
	// reported that it is finished.
	bootID    string
	bootCount int
	// readerToken was assigned to this boot ID by the leader.
	readerToken uint64
	// isReader is set while the leader may wait for this node to read withdrawals.
	isReader bool
	// lastHeard is when a leader last answered.
	lastHeard time.Time
	// highestEpoch is the highest epoch of a leader that answered. Leaders of lower epochs are
	// superseded.
	highestEpoch uint64

	// The registration with the leader (follow.go). changed are the topics whose subscription
	// counts the leader does not have yet. reportDue asks for a report now. dropReportScheduled is
	// set while a delayed report is scheduled.
	changed             map[string]bool
	reportDue           bool
	dropReportScheduled bool
	// sequence is the number of the newest Follow, ackedSequence that of the newest Follow that was
	// acknowledged.
	sequence      uint64
	ackedSequence uint64
	// mustResend is set when the leader may lack the registration. All topics are then sent again.
	mustResend  bool
	isFollowing bool
	// followInFlight is set while a Follow is in flight. Its response may be older than tombstones
	// that were polled meanwhile.
	followInFlight bool
	tombstones     tombstones
	// registered is closed, and replaced, with each acknowledged Follow.
	registered chan struct{}

	// The position in the log (poll.go). If hasPosition is set, all entries of the topics up to
	// readTo were read. The leader retains the entries after base.
	hasPosition bool
	readTo      uint64
	base        uint64
	// generation is the current generation of polls. The entries of a response to an older one are
	// ignored.
	generation uint64
	isPolling  bool
	cancelPoll context.CancelFunc
	// polledEpoch and recordVersion are the epoch and the version of the assignment record in use.
	polledEpoch   uint64
	recordVersion uint64

	// The end of the registration as a reader (finish.go).
	isReleasing bool
	isFinished  bool
	// suspensions counts the releases of buffers that are in progress. Follow is not called
	// meanwhile.
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

// reportNow reports all changed topics to the leader as soon as possible. It starts followLoop if
// that is not running.
func (f *feed) reportNow() {
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

// reportDropsLater reports dropped topics to the leader after a delay, unless another report
// includes them earlier. Clients that drop a topic often subscribe to it again.
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
			f.reportNow()
		}
	}()
}

// recordChanged cancels the poll of a leader that the assignment record no longer names.
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

// isRetained reports whether the messages of a topic are stored for clients that reconnect.
func (f *feed) isRetained(topic string) bool {
	space, err := f.hub.store.Index().Find(topic)
	return err == nil && space.Kind != configuration.KindLive
}

// isIsolated reports whether no leader has answered for the recovery time while the leader may wait
// for this node as a reader.
func (f *feed) isIsolated() bool {
	return f.isReader && f.readerToken > 0 && f.hub.clock.Now().Sub(f.lastHeard) > f.hub.timing.Recovery
}

// renewBootID switches to a new boot ID, which the leader does not know.
func (f *feed) renewBootID() {
	f.bootCount++
	f.bootID = f.hub.bootID + "+" + strconv.Itoa(f.bootCount)
	f.readerToken = 0
	f.isFinished = false
}

// backoff returns a channel that is closed after the backoff of an attempt, or when ctx ends.
func (f *feed) backoff(ctx context.Context, attempt int) <-chan struct{} {
	elapsed := make(chan struct{})
	go func() {
		_ = f.hub.clock.Sleep(ctx, f.hub.timing.Backoff(attempt))
		close(elapsed)
	}()
	return elapsed
}
