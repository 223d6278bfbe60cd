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

// retryableCodes are the codes of errors after which another attempt, perhaps at another leader,
// may succeed.
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

// uncertainCodes are the codes of errors after which the call may have been decided nevertheless.
var uncertainCodes = map[apierror.Code]bool{
	apierror.Unreachable:    true,
	apierror.OutcomeUnknown: true,
	apierror.Internal:       true,
}

// finalCodes are the codes of a leader's permanent rejections. They apply whatever the outcome of
// earlier attempts was.
var finalCodes = map[apierror.Code]bool{
	apierror.CallAltered:   true,
	apierror.CallPassed:    true,
	apierror.CallForgotten: true,
	apierror.TokenFenced:   true,
	apierror.Malformed:     true,
	apierror.KeyUnknown:    true,
}

// briefCodes are the codes of errors while a partition moves from one leader to another. That takes
// milliseconds, so the first pauses are short.
var briefCodes = map[apierror.Code]bool{
	apierror.NotPartitionLeader: true,
	apierror.NotReady:           true,
	apierror.ShuttingDown:       true,
	apierror.StaleEpoch:         true,
}

// briefPauseDivisor divides the longest backoff. The result is doubled with each pause after one of
// briefCodes.
const briefPauseDivisor = 32

// failureLimits is the number of errors at which a call is given up. Errors of both codes are
// counted together, from the last newer record on.
var failureLimits = map[apierror.Code]int{apierror.NoPartitionLeader: 2, apierror.Unreachable: 3}

// retryState holds the failures of a forwarded call. Each newer record resets it, but not
// isUncertain.
type retryState struct {
	router      *Router
	partitionID int
	// isUncertain reports whether an attempt may have been decided.
	isUncertain   bool
	recordVersion uint64
	recordSince   time.Time
	failures      int
	briefPause    time.Duration
}

func (s *retryState) observe(version uint64) {
	if version != s.recordVersion {
		s.recordVersion = version
		s.restart()
	}
}

func (s *retryState) restart() {
	s.recordSince, s.failures = s.router.Clock.Now(), 0
	s.briefPause = s.router.Timing.MaxBackoff() / briefPauseDivisor
}

// handleError records the error of an attempt. It returns the pause before the next attempt, or the
// error to answer with.
func (s *retryState) handleError(err error, startedAt time.Time) (time.Duration, error) {
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
	isExhausted := limit > 0 && s.failures >= limit || now.Sub(s.recordSince) >= timeout ||
		uncertainCodes[code] && now.Sub(startedAt) >= timeout
	if isExhausted && s.router.Store.Record(s.partitionID).Version == s.recordVersion {
		return 0, s.errGivenUp(err)
	}
	pause := s.router.Timing.MaxBackoff()
	if briefCodes[code] {
		s.briefPause = min(2*s.briefPause, pause)
		pause = s.briefPause
	}
	return pause, nil
}

func (s *retryState) errGivenUp(err error) error {
	return s.router.errGivenUp(s.partitionID, s.isUncertain, err)
}

// forward has a request answered by the partition's leader, on this node or another one. It retries
// while another attempt may succeed: at once after a newer record, and otherwise until a call's
// timeout has passed since the last newer record. It gives up earlier at a limit of failureLimits,
// such as when the record names no leader for the second time.
func forward[Req, Res any](
	ctx context.Context, router *Router, partitionID int, procedure *wire.Procedure[Req, Res],
	local func(context.Context, *Req) (*Res, error), request *Req,
) (*Res, error) {
	retry := &retryState{router: router, partitionID: partitionID}
	retry.restart()
	for {
		changed := router.Store.Changed()
		record := router.Store.Record(partitionID)
		retry.observe(record.Version)
		startedAt := router.Clock.Now()
		response, err := callLeader(ctx, router, partitionID, record, procedure, local, request)
		if err == nil {
			return response, nil
		}
		pause, finalErr := retry.handleError(err, startedAt)
		if finalErr != nil {
			return nil, finalErr
		}
		pauseCtx, stop := context.WithTimeout(ctx, pause)
		select {
		case <-changed:
		case <-pauseCtx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, retry.errGivenUp(err)
		}
	}
}

// errUncertain returns the error for a call whose last attempt ended in err, but which may have
// been decided by an earlier attempt.
func errUncertain(partitionID int, err error) error {
	return apierror.Wrap(apierror.OutcomeUnknown, apierror.New(apierror.OutcomeUnknown, "%v",
		err), "partition %d", partitionID)
}

// errGivenUp returns the error for a call that this node gave up, with the time after which to
// retry.
func (r *Router) errGivenUp(partitionID int, isUncertain bool, err error) error {
	code := apierror.NoPartitionLeader
	if isUncertain {
		code = apierror.OutcomeUnknown
	}
	givenUp := apierror.New(code, "partition %d could not decide: %v", partitionID, err)
	return givenUp.WithRetryAfter(clock.Jitter(2*r.Timing.MaxBackoff(), 1, rand.Float64()).Round(time.Millisecond))
}

// callLeader calls the leader that a record names, in one attempt. A call to another node ends when
// a higher epoch is known.
func callLeader[Req, Res any](
	ctx context.Context, router *Router, partitionID int, record assignment.Record, procedure *wire.Procedure[Req, Res],
	local func(context.Context, *Req) (*Res, error), request *Req,
) (*Res, error) {
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

// leaderAddress returns the address of the leader that a record names, "" for this node.
func (r *Router) leaderAddress(partitionID int, record assignment.Record) (string, error) {
	switch record.Leader {
	case "":
		return "", apierror.New(apierror.NoPartitionLeader, "partition %d has no leader yet", partitionID)
	case r.Self:
		return "", nil
	}
	peer, known := r.View.Get(record.Leader)
	if !known {
		return "", apierror.New(apierror.NoPartitionLeader, "the leader %s of partition %d is no longer a member",
			record.Leader, partitionID)
	}
	return peer.PeerAddr, nil
}
