package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// follower is a node that follows topics of the partition.
type follower struct {
	bootID   string
	sequence uint64
	// topics has the number of the node's subscribers to each topic.
	topics map[string]int
	// expires is when the subscribers no longer count; each call of the node puts that off.
	expires time.Time
	// activePolls is how many calls of Poll the node has in flight here.
	activePolls int
	// isFinished tells that the node follows nothing any more: its polls come late.
	isFinished bool
}

const (
	maxFollowBytes = 8 << 10
	maxPollBytes   = 64 << 10
	// maxPollLag is how many offsets a poll may pass over without answering.
	maxPollLag = 1024
)

// renewFollower returns a node's follower under a boot ID, nil if there is none, and puts its end
// off. The lock is held.
func (l *Leader) renewFollower(node, bootID string) *follower {
	known := l.followers[node]
	if known == nil || known.bootID != bootID {
		return nil
	}
	known.expires = l.options.Clock.Now().Add(l.options.Timing.Spread + l.options.Timing.SessionTimeout())
	return known
}

// Follow records what a node follows and returns the backlog it asks for. Where that begins with a
// message with a key, it waits until it is committed that the node is a reader.
func (l *Leader) Follow(ctx context.Context, request *FollowRequest) (*FollowResponse, error) {
	for {
		response, committed, err := l.tryFollow(request)
		if committed == nil {
			return response, err
		}
		select {
		case <-committed:
		case <-l.lost:
			return nil, l.errLost()
		case <-ctx.Done():
			return nil, apierror.WithCause(
				apierror.Unreachable, ctx.Err(), "following partition %d", l.Record.Partition,
			)
		}
	}
}

// tryFollow returns the response, or a channel to wait for before there is one.
func (l *Leader) tryFollow(request *FollowRequest) (*FollowResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return nil, nil, err
	}
	node, bootID := request.Node, request.BootID
	l.noteRead(node, bootID, 0)
	known := l.renewFollower(node, bootID)
	isReader, givenUp := l.readerStatus(node, bootID)
	token, isTokenValid := l.readerTokenOf(node, bootID, request.ReaderToken)
	unknown := &FollowResponse{Epoch: l.Record.Epoch, UnknownFollower: true, MustReset: givenUp, ReaderToken: token}
	isLate := !isTokenValid && !request.Finished && l.isOtherReader(node, bootID)
	if givenUp && !request.Finished || isLate || l.wasReplaced(node, bootID) || !request.follows(known) {
		return unknown, nil, nil
	}
	if !request.Finished {
		l.replaceReader(node, bootID)
	}
	ledger := l.logs[log.KindInput]
	base, end := ledger.log.Base().Offset, ledger.commit
	response := &FollowResponse{
		Epoch: l.Record.Epoch, Base: base, CommittedEnd: end, BacklogEnd: end,
		IsReader: l.isReader(node, bootID), ReaderToken: token,
	}
	if request.Finished {
		l.removeReader(node, bootID)
	} else if len(request.After) > 0 {
		stoppedAtKey := l.fillBacklog(response, request, isReader)
		if stoppedAtKey && !isTokenValid {
			return unknown, nil, nil
		}
		if stoppedAtKey {
			l.addReader(node, bootID)
			response.IsReader = true
		}
		if stoppedAtKey && len(response.Backlog) == 0 {
			return nil, ledger.committed, nil
		}
	}
	l.recordFollower(request, known)
	return response, nil, nil
}

// follows reports whether a request comes behind what is known of its node, nil for nothing, and
// changes just that.
func (r *FollowRequest) follows(known *follower) bool {
	if known != nil && r.Sequence <= known.sequence {
		return false
	}
	return r.Full || r.Finished || known != nil && known.sequence == r.BaseSequence
}

// fillBacklog adds the backlog that a request asks for to its response, and reports whether that
// stopped before a message with a key, as the node is no reader. The lock is held.
func (l *Leader) fillBacklog(response *FollowResponse, request *FollowRequest, isReader bool) (stoppedAtKey bool) {
	from := response.CommittedEnd
	for topic, after := range request.After {
		from = min(from, after)
		response.Trimmed = l.addTrimmed(response.Trimmed, topic, after)
	}
	limit := maxFollowBytes
	if request.FirstOnly {
		limit = 0
	}
	isWanted := func(entry log.Entry) bool {
		after, ok := request.After[entry.Topic]
		return ok && entry.Offset > after
	}
	filter := entryFilter{isWanted: isWanted, withKeys: request.TracksTombstones, isReader: isReader}
	response.Backlog, response.BacklogEnd, stoppedAtKey = l.collect(max(from, response.Base), limit, filter)
	return stoppedAtKey
}

// recordFollower records what a node follows. The lock is held.
func (l *Leader) recordFollower(request *FollowRequest, known *follower) {
	if known == nil {
		l.followers[request.Node] = &follower{bootID: request.BootID}
		known = l.renewFollower(request.Node, request.BootID)
	}
	if request.Full || request.Finished {
		known.topics = map[string]int{}
	}
	known.sequence, known.isFinished = request.Sequence, request.Finished
	for topic, subscribers := range request.Topics {
		if subscribers > 0 && !request.Finished {
			known.topics[topic] = subscribers
		} else {
			delete(known.topics, topic)
		}
	}
}

// pollCall is a call of Poll in flight: its follower, once that was found, and the offset up to
// which it looked.
type pollCall struct {
	request  *PollRequest
	follower *follower
	offset   uint64
}

// Poll returns committed messages of the topics that a node follows, waiting for some up to the
// request's hold.
func (l *Leader) Poll(ctx context.Context, request *PollRequest) (*PollResponse, error) {
	call := &pollCall{request: request, offset: request.From}
	defer func() { l.endPoll(ctx, call.follower) }()
	var due <-chan struct{}
	for {
		response, committed, err := l.tryPoll(call)
		if committed == nil {
			return response, err
		}
		if due == nil {
			timerCtx, stop := context.WithCancel(ctx)
			defer stop()
			due = l.after(timerCtx, request.Hold)
		}
		select {
		case <-committed:
		case <-due:
			if ctx.Err() != nil {
				return nil, apierror.WithCause(
					apierror.Unreachable, ctx.Err(), "following partition %d", l.Record.Partition,
				)
			}
			return response, nil
		case <-l.lost:
			return nil, l.errLost()
		}
	}
}

// tryPoll returns the response of now, with a channel to wait for if it holds nothing worth
// answering.
func (l *Leader) tryPoll(call *pollCall) (*PollResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return nil, nil, err
	}
	request := call.request
	node, bootID := request.Node, request.BootID
	l.noteRead(node, bootID, request.From)
	isReader, givenUp := l.readerStatus(node, bootID)
	known := l.renewFollower(node, bootID)
	if known != nil && call.follower == nil {
		call.follower = known
		known.activePolls++
	}
	if givenUp || l.wasReplaced(node, bootID) || known == nil || known.isFinished || known.sequence < request.Sequence {
		return &PollResponse{Epoch: l.Record.Epoch, UnknownFollower: true, MustReset: givenUp}, nil, nil
	}
	ledger := l.logs[log.KindInput]
	base := ledger.log.Base().Offset
	token, isTokenValid := l.readerTokenOf(node, bootID, request.ReaderToken)
	if !isTokenValid && l.isOtherReader(node, bootID) {
		return &PollResponse{Epoch: l.Record.Epoch, Base: base, To: request.From, ReaderToken: token}, nil, nil
	}
	l.replaceReader(node, bootID)
	response := &PollResponse{Epoch: l.Record.Epoch, Base: base, IsReader: l.isReader(node, bootID), ReaderToken: token}
	filter := entryFilter{
		isWanted:       func(entry log.Entry) bool { return known.topics[entry.Topic] > 0 },
		withKeys:       request.TracksTombstones,
		allWithdrawals: true,
		isReader:       isReader,
	}
	stoppedAtKey := false
	response.Entries, call.offset, stoppedAtKey = l.collect(max(call.offset, base), maxPollBytes, filter)
	response.To = call.offset
	if stoppedAtKey && isTokenValid {
		l.addReader(node, bootID)
		response.IsReader = true
	}
	if request.From < base {
		for topic := range known.topics {
			response.Trimmed = l.addTrimmed(response.Trimmed, topic, request.From)
		}
	}
	if len(response.Entries) > 0 || len(response.Trimmed) > 0 ||
		call.offset > request.From+maxPollLag || stoppedAtKey && !isTokenValid {
		return response, nil, nil
	}
	return response, ledger.committed, nil
}

// endPoll ends a poll. One that broke off has its follower expire soon, unless that polls again or
// does so already.
func (l *Leader) endPoll(ctx context.Context, known *follower) {
	if known == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known.activePolls--
	if ctx.Err() != nil && known.activePolls == 0 {
		known.expires = l.options.Clock.Now().Add(2 * l.options.Timing.MaxBackoff())
	}
}

// Subscribers returns how many subscribers a topic has on all nodes; NotReady unless the leader is
// open or closing.
func (l *Leader) Subscribers(topic string) (int, error) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return 0, err
	}
	subscribers := 0
	for node, known := range l.followers {
		if now.After(known.expires) {
			delete(l.followers, node)
			continue
		}
		subscribers += known.topics[topic]
	}
	return subscribers, nil
}
