package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/quorum"
)

type round struct {
	done chan struct{}
	err  error
}

// assure answers nil once a majority of the replicas, asked after the call began, turned no epoch above this one's owner away:
// whatever was judged before the call was judged while nobody else could decide. Calls that wait share a round.
func (o *Leader) assure(ctx context.Context) error {
	o.mu.Lock()
	r := o.next
	if r == nil {
		r = &round{done: make(chan struct{})}
		o.next = r
		if !o.asking {
			o.asking = true
			go o.rounds()
		}
	}
	o.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return apierror.WithCause(apierror.NotPartitionLeader, ctx.Err(), "no majority confirmed epoch %d of partition %d in time", o.Record.Epoch, o.Record.Partition)
	case <-o.lost:
		return apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
	}
}

func (o *Leader) rounds() {
	for {
		o.mu.Lock()
		r := o.next
		o.next = nil
		if r == nil {
			o.asking = false
			o.mu.Unlock()
			return
		}
		o.tally.QuorumChecks++
		ctx := o.ctx
		o.mu.Unlock()
		r.err = o.ask(ctx)
		close(r.done)
	}
}

func (o *Leader) ask(ctx context.Context) error {
	cx, stop := context.WithTimeout(ctx, o.d.Timing.CallTimeout())
	defer stop()
	as := quorum.Gather(cx, o.Record.Replicas, func(ctx context.Context, p assignment.Replica) (bool, error) {
		q := &replica.AppendRequest{Target: replica.Target{Partition: o.Record.Partition, Incarnation: p.Incarnation, Epoch: o.Record.Epoch}, Kind: log.KindLedger, Urgent: o.Urgent}
		if p.Node == o.d.Self {
			return true, o.d.Replica.CheckEpoch(q.Target)
		}
		a, ok := o.d.Addr(p.Node)
		if !ok {
			return false, apierror.New(apierror.Unreachable, "%s is not a member", p.Node)
		}
		_, err := replica.Append.Call(ctx, o.d.Net, o.d.Self, a, q)
		return err == nil, err
	}, func(as []quorum.Result[assignment.Replica, bool]) bool {
		return len(quorum.Successes(as)) >= o.Record.Majority()
	})
	for _, a := range as {
		if o.fenced(a.Err) {
			o.lose(a.Err)
		}
	}
	if n := len(quorum.Successes(as)); n < o.Record.Majority() {
		return apierror.WithCause(apierror.NotPartitionLeader, quorum.FirstError(as), "%d of %d replicas confirmed epoch %d of partition %d", n, len(o.Record.Replicas), o.Record.Epoch, o.Record.Partition)
	}
	return nil
}

// settled waits until all that an answer rests on is committed and nobody else can have decided since.
func (o *Leader) settled(ctx context.Context, basis uint64) error {
	if err := o.await(ctx, log.KindLedger, basis); err != nil {
		return apierror.New(apierror.NotPartitionLeader, "an answer of partition %d rests on offset %d, which is not on a majority", o.Record.Partition, basis)
	}
	return o.assure(ctx)
}
