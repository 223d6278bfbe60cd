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
	// expires is when the subscribers no longer count. Each call of the node extends it.
	expires time.Time
	// activePolls is the number of Poll calls that the node has in flight here.
	activePolls int
	// isFinished is set once the node follows nothing any more. Its later polls are stale.
	isFinished bool
}

const (
	maxFollowBytes = 8 << 10
	maxPollBytes   = 64 << 10
	// maxPollLag is the number of offsets that a poll may skip without answering.
	maxPollLag = 1024
)

// renewFollower returns a node's follower under a boot ID and extends its expiry. It returns nil if
// there is none. l.mu must be held.
func (l *Leader) renewFollower(node, bootID string) *follower {
	current := l.followers[node]
	if current == nil || current.bootID != bootID {
		return nil
	}
	current.expires = l.options.Clock.Now().Add(l.options.Timing.Spread + l.options.Timing.SessionTimeout())
	return current
}

// Follow records what a node follows and returns the backlog that it asks for. If that backlog
// begins with a message with a key, Follow waits until it is committed that the node is a reader.
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
	l.updateReaderProgress(node, bootID, 0)
	current := l.renewFollower(node, bootID)
	isReader, givenUp := l.readerStatus(node, bootID)
	token, isTokenValid := l.readerTokenOf(node, bootID, request.ReaderToken)
	rejected := &FollowResponse{Epoch: l.Record.Epoch, UnknownFollower: true, MustReset: givenUp, ReaderToken: token}
	isLate := !isTokenValid && !request.Finished && l.isOtherReader(node, bootID)
	if givenUp && !request.Finished || isLate || l.wasReplaced(node, bootID) || !request.follows(current) {
		return rejected, nil, nil
	}
	if !request.Finished {
		l.replaceReader(node, bootID)
	}
	partitionLog := l.logs[log.KindInput]
	base, end := partitionLog.log.Base().Offset, partitionLog.commit
	response := &FollowResponse{
		Epoch: l.Record.Epoch, Base: base, CommittedEnd: end, BacklogEnd: end,
		IsReader: l.isReader(node, bootID), ReaderToken: token,
	}
	if request.Finished {
		l.removeReader(node, bootID)
	} else if len(request.After) > 0 {
		stoppedAtKey := l.fillBacklog(response, request, isReader)
		if stoppedAtKey && !isTokenValid {
			return rejected, nil, nil
		}
		if stoppedAtKey {
			l.addReader(node, bootID)
			response.IsReader = true
		}
		if stoppedAtKey && len(response.Backlog) == 0 {
			return nil, partitionLog.committed, nil
		}
	}
	l.recordFollower(request, current)
	return response, nil, nil
}

// follows reports whether a request is newer than the current follower of its node, nil if there is
// none, and applies to exactly that state.
func (r *FollowRequest) follows(current *follower) bool {
	if current != nil && r.Sequence <= current.sequence {
		return false
	}
	return r.Full || r.Finished || current != nil && current.sequence == r.BaseSequence
}

// fillBacklog adds the requested backlog to a response. It reports whether it stopped before a
// message with a key because the node is not a reader. l.mu must be held.
func (l *Leader) fillBacklog(response *FollowResponse, request *FollowRequest, isReader bool) (stoppedAtKey bool) {
	from := response.CommittedEnd
	for topic, after := range request.After {
		from = min(from, after)
		response.Trimmed = l.addTrimmed(response.Trimmed, topic, after)
	}
	maxBytes := maxFollowBytes
	if request.FirstOnly {
		maxBytes = 0
	}
	isWanted := func(entry log.Entry) bool {
		after, ok := request.After[entry.Topic]
		return ok && entry.Offset > after
	}
	filter := entryFilter{isWanted: isWanted, withKeys: request.TracksTombstones, isReader: isReader}
	response.Backlog, response.BacklogEnd, stoppedAtKey = l.collect(max(from, response.Base), maxBytes, filter)
	return stoppedAtKey
}

// recordFollower records what a node follows. l.mu must be held.
func (l *Leader) recordFollower(request *FollowRequest, current *follower) {
	if current == nil {
		l.followers[request.Node] = &follower{bootID: request.BootID}
		current = l.renewFollower(request.Node, request.BootID)
	}
	if request.Full || request.Finished {
		current.topics = map[string]int{}
	}
	current.sequence, current.isFinished = request.Sequence, request.Finished
	for topic, subscribers := range request.Topics {
		if subscribers > 0 && !request.Finished {
			current.topics[topic] = subscribers
		} else {
			delete(current.topics, topic)
		}
	}
}

// pollCall is a call of Poll in flight: its follower, once that is found, and the offset up to
// which it has read.
type pollCall struct {
	request  *PollRequest
	follower *follower
	offset   uint64
}

// Poll returns committed messages of the topics that a node follows, waiting up to the request's
// MaxWait for some.
func (l *Leader) Poll(ctx context.Context, request *PollRequest) (*PollResponse, error) {
	call := &pollCall{request: request, offset: request.From}
	defer func() { l.endPoll(ctx, call.follower) }()
	var timeout <-chan struct{}
	for {
		response, committed, err := l.tryPoll(call)
		if committed == nil {
			return response, err
		}
		if timeout == nil {
			timerCtx, stop := context.WithCancel(ctx)
			defer stop()
			timeout = l.after(timerCtx, request.MaxWait)
		}
		select {
		case <-committed:
		case <-timeout:
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

// tryPoll returns the response as of now, with a channel to wait for if the response has nothing
// worth sending.
func (l *Leader) tryPoll(call *pollCall) (*PollResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return nil, nil, err
	}
	request := call.request
	node, bootID := request.Node, request.BootID
	l.updateReaderProgress(node, bootID, request.From)
	isReader, givenUp := l.readerStatus(node, bootID)
	current := l.renewFollower(node, bootID)
	if current != nil && call.follower == nil {
		call.follower = current
		current.activePolls++
	}
	if givenUp || l.wasReplaced(node, bootID) ||
		current == nil || current.isFinished || current.sequence < request.Sequence {
		return &PollResponse{Epoch: l.Record.Epoch, UnknownFollower: true, MustReset: givenUp}, nil, nil
	}
	partitionLog := l.logs[log.KindInput]
	base := partitionLog.log.Base().Offset
	token, isTokenValid := l.readerTokenOf(node, bootID, request.ReaderToken)
	if !isTokenValid && l.isOtherReader(node, bootID) {
		return &PollResponse{Epoch: l.Record.Epoch, Base: base, To: request.From, ReaderToken: token}, nil, nil
	}
	l.replaceReader(node, bootID)
	response := &PollResponse{Epoch: l.Record.Epoch, Base: base, IsReader: l.isReader(node, bootID), ReaderToken: token}
	filter := entryFilter{
		isWanted:       func(entry log.Entry) bool { return current.topics[entry.Topic] > 0 },
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
		for topic := range current.topics {
			response.Trimmed = l.addTrimmed(response.Trimmed, topic, request.From)
		}
	}
	if len(response.Entries) > 0 || len(response.Trimmed) > 0 ||
		call.offset > request.From+maxPollLag || stoppedAtKey && !isTokenValid {
		return response, nil, nil
	}
	return response, partitionLog.committed, nil
}

// endPoll ends a poll. If the poll was canceled, its follower expires soon, unless that node polls
// again or has another poll in flight.
func (l *Leader) endPoll(ctx context.Context, current *follower) {
	if current == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	current.activePolls--
	if ctx.Err() != nil && current.activePolls == 0 {
		current.expires = l.options.Clock.Now().Add(2 * l.options.Timing.MaxBackoff())
	}
}

// Subscribers returns how many subscribers a topic has on all nodes. It returns NotReady unless the
// leader is open or closing.
func (l *Leader) Subscribers(topic string) (int, error) {
	now := l.options.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return 0, err
	}
	subscribers := 0
	for node, current := range l.followers {
		if now.After(current.expires) {
			delete(l.followers, node)
			continue
		}
		subscribers += current.topics[topic]
	}
	return subscribers, nil
}
