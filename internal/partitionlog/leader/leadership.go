package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/quorum"
)

// leadershipCheck is one request to a majority to confirm the epoch, shared by all calls that came
// before it began.
type leadershipCheck struct {
	done chan struct{}
	err  error
}

// checkLeadership returns nil once a majority of the replicas, asked after the call began, has
// accepted the leader's epoch. Then no leader of a higher epoch decided anything before the call.
// Waiting calls share a check.
func (l *Leader) checkLeadership(ctx context.Context) error {
	l.mu.Lock()
	check := l.nextCheck
	if check == nil {
		check = &leadershipCheck{done: make(chan struct{})}
		l.nextCheck = check
		if !l.checking {
			l.checking = true
			go l.runLeadershipChecks()
		}
	}
	l.mu.Unlock()
	select {
	case <-check.done:
		return check.err
	case <-ctx.Done():
		return apierror.WithCause(apierror.NotPartitionLeader, ctx.Err(),
			"no majority confirmed epoch %d of partition %d in time", l.Record.Epoch, l.Record.Partition)
	case <-l.lost:
		return l.errLost()
	}
}

// runLeadershipChecks runs checks one after another until no call waits for one.
func (l *Leader) runLeadershipChecks() {
	for {
		l.mu.Lock()
		check := l.nextCheck
		l.nextCheck = nil
		if check == nil {
			l.checking = false
			l.mu.Unlock()
			return
		}
		l.counters.QuorumChecks++
		ctx := l.ctx
		l.mu.Unlock()
		check.err = l.confirmEpoch(ctx)
		close(check.done)
	}
}

// confirmEpoch asks the replicas to accept the epoch. A replica that has seen a higher epoch ends
// the leadership.
func (l *Leader) confirmEpoch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	defer cancel()
	isMajority := func(results []quorum.Result[assignment.Replica, bool]) bool {
		return len(quorum.Successes(results)) >= l.Record.Majority()
	}
	results := quorum.Gather(ctx, l.Record.Replicas, l.confirmEpochAt, isMajority)
	for _, result := range results {
		if isFenced(result.Err) {
			l.loseLeadership(result.Err)
		}
	}
	if confirmed := len(quorum.Successes(results)); confirmed < l.Record.Majority() {
		return apierror.WithCause(apierror.NotPartitionLeader, quorum.FirstError(results),
			"%d of %d replicas confirmed epoch %d of partition %d",
			confirmed, len(l.Record.Replicas), l.Record.Epoch, l.Record.Partition)
	}
	return nil
}

func (l *Leader) confirmEpochAt(ctx context.Context, to assignment.Replica) (bool, error) {
	if to.Node == l.options.Self {
		return true, l.options.Replica.CheckEpoch(l.target(to))
	}
	address, err := l.address(to.Node)
	if err != nil {
		return false, err
	}
	request := &replica.AppendRequest{Target: l.target(to), Kind: log.KindInput, Urgent: l.Urgent}
	_, err = replica.Append.Call(ctx, l.options.Net, l.options.Self, address, request)
	return err == nil, err
}

// confirmCommitted waits until the partition log is committed up to an offset that an answer
// depends on. It then confirms that no other leader can have decided since.
func (l *Leader) confirmCommitted(ctx context.Context, offset uint64) error {
	if err := l.awaitCommit(ctx, log.KindInput, offset); err != nil {
		return l.errDependencyUncommitted(offset)
	}
	return l.checkLeadership(ctx)
}

func (l *Leader) errDependencyUncommitted(offset uint64) error {
	return apierror.New(apierror.NotPartitionLeader,
		"an answer of partition %d depends on offset %d, which is not committed", l.Record.Partition, offset)
}
