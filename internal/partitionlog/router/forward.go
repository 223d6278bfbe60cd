package router

import (
	"context"
	"math/rand/v2"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/wire"
)

// retryableCodes are those of errors after which another attempt, perhaps at another leader, may
// succeed.
var retryableCodes = map[apierror.Code]bool{
	apierror.NotPartitionLeader: true,
	apierror.NotReady:           true,
	apierror.Unreachable:        true,
	apierror.OutcomeUnknown:     true,
	apierror.ShuttingDown:       true,
	apierror.StaleEpoch:         true,
	apierror.NoLease:            true,
	apierror.Stopped:            true,
}

// uncertainCodes are those of errors after which the call may have been decided all the same.
var uncertainCodes = map[apierror.Code]bool{
	apierror.Unreachable:    true,
	apierror.OutcomeUnknown: true,
	apierror.Internal:       true,
}

// finalCodes are those of a leader's rejections for good, which hold whatever became of earlier
// attempts.
var finalCodes = map[apierror.Code]bool{
	apierror.CallAltered:   true,
	apierror.CallPassed:    true,
	apierror.CallForgotten: true,
	apierror.TokenFenced:   true,
	apierror.Malformed:     true,
	apierror.KeyUnknown:    true,
}

// briefCodes are those of a partition that moves from one leader to another, which takes
// milliseconds: pauses begin short.
var briefCodes = map[apierror.Code]bool{
	apierror.NotPartitionLeader: true,
	apierror.NotReady:           true,
	apierror.ShuttingDown:       true,
	apierror.StaleEpoch:         true,
}

// briefPauseDivisor makes the shortest pause from the longest backoff.
const briefPauseDivisor = 32

// failureLimits is how often an error is met, without a newer record in between, before a call is
// given up.
var failureLimits = map[apierror.Code]int{apierror.NoPartitionLeader: 2, apierror.Unreachable: 3}

// retryState is what a forwarded call has met so far. It begins anew, but for isUncertain, with
// each newer record.
type retryState struct {
	router      *Router
	partitionID int
	// isUncertain tells that an attempt may have been decided.
	isUncertain bool
	version     uint64
	since       time.Time
	failures    int
	briefPause  time.Duration
}

func (s *retryState) observe(version uint64) {
	if version != s.version {
		s.version = version
		s.restart()
	}
}

func (s *retryState) restart() {
	s.since, s.failures = s.router.Clock.Now(), 0
	s.briefPause = s.router.Timing.MaxBackoff() / briefPauseDivisor
}

// failed takes the error of an attempt in. It returns how long to pause before the next one, or the
// error to answer with.
func (s *retryState) failed(err error, begun time.Time) (time.Duration, error) {
	code := apierror.From(err).Code
	s.isUncertain = s.isUncertain || uncertainCodes[code]
	if !retryableCodes[code] && code != apierror.NoPartitionLeader {
		if s.isUncertain && !finalCodes[code] {
			return 0, errUncertain(s.partitionID, err)
		}
		return 0, err
	}
	now := s.router.Clock.Now()
	limit, timeout := failureLimits[code], s.router.Timing.CallTimeout()
	if limit > 0 {
		s.failures++
	}
	isOver := limit > 0 && s.failures >= limit || now.Sub(s.since) >= timeout ||
		uncertainCodes[code] && now.Sub(begun) >= timeout
	if isOver && s.router.Store.Record(s.partitionID).Version == s.version {
		return 0, s.givenUp(err)
	}
	pause := s.router.Timing.MaxBackoff()
	if briefCodes[code] {
		s.briefPause = min(2*s.briefPause, pause)
		pause = s.briefPause
	}
	return pause, nil
}

func (s *retryState) givenUp(err error) error {
	return s.router.errGivenUp(s.partitionID, s.isUncertain, err)
}

// forward has a request answered by the partition's leader, here or on another node. It retries
// while that may help: at once after a newer record, and else until a call's time-out after the
// last one. It gives up when the record says for the second time that there is no leader.
func forward[Q, A any](
	ctx context.Context, router *Router, partitionID int, procedure *wire.Procedure[Q, A],
	local func(context.Context, *Q) (*A, error), request *Q,
) (*A, error) {
	retry := &retryState{router: router, partitionID: partitionID}
	retry.restart()
	for {
		changed := router.Store.Changed()
		record := router.Store.Record(partitionID)
		retry.observe(record.Version)
		begun := router.Clock.Now()
		response, err := callLeader(ctx, router, partitionID, record, procedure, local, request)
		if err == nil {
			return response, nil
		}
		pause, endErr := retry.failed(err, begun)
		if endErr != nil {
			return nil, endErr
		}
		pauseCtx, stop := context.WithTimeout(ctx, pause)
		select {
		case <-changed:
		case <-pauseCtx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, retry.givenUp(err)
		}
	}
}

// errUncertain is the answer to a call that may have been decided by an attempt before the one that
// ended in err.
func errUncertain(partitionID int, err error) error {
	return apierror.Wrap(apierror.OutcomeUnknown, apierror.New(apierror.OutcomeUnknown, "%v",
		err), "partition %d", partitionID)
}

// errGivenUp is the answer to a call that this node gave up on, with the time after which to call
// again.
func (r *Router) errGivenUp(partitionID int, isUncertain bool, err error) error {
	code := apierror.NoPartitionLeader
	if isUncertain {
		code = apierror.OutcomeUnknown
	}
	givenUp := apierror.New(code, "partition %d could not decide: %v", partitionID, err)
	return givenUp.WithRetryAfter(clock.Jitter(2*r.Timing.MaxBackoff(), 1, rand.Float64()).Round(time.Millisecond))
}

// callLeader makes one attempt at the leader that a record names. A call to another node ends when
// a higher epoch is known.
func callLeader[Q, A any](
	ctx context.Context, router *Router, partitionID int, record assignment.Record, procedure *wire.Procedure[Q, A],
	local func(context.Context, *Q) (*A, error), request *Q,
) (*A, error) {
	address, err := router.leaderAddress(partitionID, record)
	if err != nil {
		return nil, err
	}
	callCtx, stop := context.WithTimeout(ctx, router.Timing.CallTimeout())
	defer stop()
	if record.Leader == router.Self {
		return local(callCtx, request)
	}
	defer context.AfterFunc(router.epochs.contextOf(router.Store, record), stop)()
	return procedure.Call(callCtx, router.Net, router.Self, address, request)
}

// leaderAddress returns where the leader that a record names is reached, "" for this node.
func (r *Router) leaderAddress(partitionID int, record assignment.Record) (string, error) {
	switch record.Leader {
	case "":
		return "", apierror.New(apierror.NoPartitionLeader, "partition %d has no leader yet", partitionID)
	case r.Self:
		return "", nil
	}
	peer, known := r.View.Get(record.Leader)
	if !known {
		return "", apierror.New(apierror.NoPartitionLeader, "the leader %s of partition %d is gone",
			record.Leader, partitionID)
	}
	return peer.PeerAddr, nil
}
