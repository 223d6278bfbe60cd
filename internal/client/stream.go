package client

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/rawjson"
)

// A stream that has written nothing for the spread interval divided by idleDivisor writes a
// keepalive.
const idleDivisor = 2

// fetchResult is the outcome of a fetch for a reader.
type fetchResult struct {
	window stream.Window
	err    error
}

// reader is one partition of a stream.
type reader struct {
	partition int
	isUrgent  bool
	feed      *stream.Feed
	// liveFrom is the offset up to which live messages are not delivered.
	liveFrom uint64
	// window has the entries that are still to be delivered. While isFetching is set, the next
	// window comes over fetched.
	window     stream.Window
	isFetching bool
	fetched    chan fetchResult
}

// openResult is the outcome of opening a partition.
type openResult struct {
	reader
	leave  func()
	offset uint64
	err    error
}

// subscriptionStream is one stream. The goroutine that calls follow runs it. Its goroutines that
// open partitions, fetch entries and check the attachment return results over its channels and end
// with its context.
type subscriptionStream struct {
	service *Service
	request *Request
	fleet   string
	// topics are the topics that are still followed. urgentTopics has whether each topic is urgent,
	// partitions the partition of each.
	topics       map[string]bool
	urgentTopics map[string]bool
	partitions   map[string]int
	// resumeFrom is the cursor at which the stream resumes. positions are the offsets that it has
	// reached in the open partitions.
	resumeFrom cursor.Cursor
	positions  cursor.Cursor
	// readers are the open partitions, urgent ones first. Those that open later come over opened.
	readers    []reader
	opened     chan openResult
	leaveFuncs []func()
	// attachFeed has the client's attachments; they are checked up to attachOffset.
	attachFeed   *stream.Feed
	attachOffset uint64
	attachChecks chan error
	isChecking   bool
	// configuration is the sequence number of the configuration that the topics were checked
	// against.
	configuration uint64
	wake          chan struct{}
	writeErr      error
}

func (s *Service) follow(ctx context.Context, request *Request) error {
	identity, err := s.decodeToken(request)
	if err != nil {
		return err
	}
	voterSet := s.Store.VoterSet()
	st := s.newSubscriptionStream(request, voterSet.Fleet)
	urgent, routine := st.assignPartitions(voterSet.Layout.RoutinePartitions)
	st.opened = make(chan openResult, len(urgent)+len(routine))
	ctx, end := context.WithCancel(ctx)
	defer func() {
		end()
		for _, leave := range st.leaveFuncs {
			leave()
		}
	}()
	callCtx, cancel := context.WithTimeout(ctx, callTimeouts*s.Timing.CallTimeout())
	defer cancel()
	if err := st.watchAttachment(callCtx, identity, len(urgent) > 0); err != nil {
		return err
	}
	if err := st.loadCursor(voterSet.Layout.PartitionCount()); err != nil {
		return err
	}
	if err := st.openAll(ctx, callCtx, urgent, routine); err != nil {
		return err
	}
	defer s.Presence.Add(request.Client, unique(request.Topics))()
	s.countStreams(1, 0)
	defer s.countStreams(-1, 0)
	cancel()
	return st.run(ctx)
}

// newSubscriptionStream returns the stream of a request; its topics and partitions are set by
// assignPartitions.
func (s *Service) newSubscriptionStream(request *Request, fleet string) *subscriptionStream {
	return &subscriptionStream{
		service:       s,
		request:       request,
		fleet:         fleet,
		topics:        map[string]bool{},
		urgentTopics:  map[string]bool{},
		partitions:    map[string]int{},
		positions:     cursor.Cursor{},
		resumeFrom:    cursor.Cursor{},
		wake:          make(chan struct{}, 1),
		attachChecks:  make(chan error, 1),
		configuration: s.Store.Index().Sequence,
	}
}

// run delivers until the stream ends. The reason is written as the last line; run returns an error
// only if that line can't be written.
func (st *subscriptionStream) run(ctx context.Context) error {
	if err := st.emit(Event{Attached: st.request.identity.Generation, Waiting: st.waitingTopics()}); err != nil {
		return err
	}
	idle := st.idleTicks(ctx)
	wrote := true
	for {
		if err := st.checkServing(); err != nil {
			return st.end(err)
		}
		changed := st.service.Store.Changed()
		hasMore, err := st.deliverRound(ctx)
		if err != nil {
			return st.end(err)
		}
		if hasMore {
			wrote = true
			continue
		}
		select {
		case opened := <-st.opened:
			if opened.err != nil {
				return st.end(opened.err)
			}
			st.addReader(opened)
			subscribed := st.topicsIn(func(partition int) bool { return partition == opened.partition })
			if err := st.emit(Event{Subscribed: subscribed}); err != nil {
				return err
			}
		case <-st.wake:
		case <-changed:
		case <-idle:
			if !wrote {
				if err := st.emit(Event{Idle: true}); err != nil {
					return err
				}
			}
			wrote = false
		case <-st.service.Draining:
		case <-ctx.Done():
			return nil
		}
	}
}

func (st *subscriptionStream) checkServing() error {
	if err := st.service.CheckLease(); err != nil {
		return err
	}
	select {
	case <-st.service.Draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
		return nil
	}
}

func (st *subscriptionStream) idleTicks(ctx context.Context) <-chan struct{} {
	clock, interval := st.service.Clock, st.service.Timing.Spread/idleDivisor
	ticks := make(chan struct{}, 1)
	go func() {
		for clock.Sleep(ctx, interval) == nil {
			select {
			case ticks <- struct{}{}:
			default:
			}
		}
	}()
	return ticks
}

func (st *subscriptionStream) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

func (st *subscriptionStream) topicsIn(include func(partition int) bool) []string {
	var names []string
	for topic, partition := range st.partitions {
		if st.topics[topic] && include(partition) {
			names = append(names, topic)
		}
	}
	slices.Sort(names)
	return names
}

// waitingTopics returns the topics whose partitions are not open yet.
func (st *subscriptionStream) waitingTopics() []string {
	return st.topicsIn(func(partition int) bool {
		return !slices.ContainsFunc(st.readers, func(reader reader) bool { return reader.partition == partition })
	})
}

func (st *subscriptionStream) cursor() string {
	merged := cursor.Cursor{}
	for partition, offset := range st.resumeFrom {
		merged[partition] = offset
	}
	for partition, offset := range st.positions {
		merged[partition] = offset
	}
	return cursor.Encode(st.fleet, merged)
}

func (st *subscriptionStream) emit(event Event) error {
	event.Cursor = st.cursor()
	line, err := rawjson.Marshal(event)
	if err != nil {
		return apierror.Wrap(apierror.Internal, err, "encode a stream event")
	}
	if err := st.request.Emit(append(line, '\n')); err != nil {
		st.writeErr = err
		return apierror.Wrap(apierror.SlowReader, err, "the stream could not be written")
	}
	st.service.countStreams(0, 1)
	return nil
}

// end writes why the stream ends, unless writing failed before.
func (st *subscriptionStream) end(err error) error {
	if st.writeErr != nil {
		return nil
	}
	problem := apierror.From(err)
	_ = st.emit(
		Event{
			End: &End{
				Code:         string(problem.Code),
				Message:      problem.Message,
				Advice:       problem.Advice(),
				RetryAfterMS: problem.RetryAfterMS,
			},
		},
	)
	return nil
}
