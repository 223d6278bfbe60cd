package leader

import (
	"context"

	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
)

// promoteChecksPerBackoff is how often within the longest backoff a learner's progress is checked.
const promoteChecksPerBackoff = 8

// Update applies a newer record of the same epoch, which may name a learner to bring up to date.
func (l *Leader) Update(ctx context.Context, record assignment.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stage != StageOpen || record.Epoch != l.Record.Epoch {
		return
	}
	var learner assignment.Replica
	if record.Learner != nil {
		learner = *record.Learner
	}
	if learner == l.learner {
		return
	}
	if l.stopLearner != nil {
		l.stopLearner()
		l.stopLearner = nil
	}
	l.learner = learner
	if learner.Node == "" {
		return
	}
	learnerCtx, stop := context.WithCancel(l.ctx)
	l.stopLearner = stop
	for _, kind := range log.Kinds {
		delete(l.logs[kind].match, learner.Incarnation)
		go l.replicate(learnerCtx, l.logs[kind], learner, replica.Tail{}, false)
	}
	go l.promoteWhenCaughtUp(learnerCtx, learner)
}

// isCaughtUp reports whether a learner has everything that is committed. If it replaces a lost disk
// of the same machine, it must also have everything that the lost disk was known to have.
func (p *logProgress) isCaughtUp(record assignment.Record, learner assignment.Replica) bool {
	match := p.match[learner.Incarnation]
	replaced, _ := record.Replica(learner.Node)
	return match > 0 && match >= p.commit && match >= p.match[replaced.Incarnation]
}

// promoteWhenCaughtUp proposes the learner as a replica whenever it is caught up, until ctx ends.
func (l *Leader) promoteWhenCaughtUp(ctx context.Context, learner assignment.Replica) {
	for l.options.Clock.Sleep(ctx, l.options.Timing.MaxBackoff()/promoteChecksPerBackoff) == nil {
		l.mu.Lock()
		caughtUp := true
		for _, progress := range l.logs {
			caughtUp = caughtUp && progress.isCaughtUp(l.Record, learner)
		}
		record := l.Record
		l.mu.Unlock()
		if caughtUp {
			l.options.OnPromote(ctx, record, learner)
			_ = l.options.Clock.Sleep(ctx, l.options.Timing.ReconcileInterval())
		}
	}
}
