package leader

import (
	"context"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
)

// Update takes news of the record under the same epoch: a learner to bring up.
func (o *Leader) Update(ctx context.Context, r assignment.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage != StageOpen || r.Epoch != o.Record.Epoch {
		return
	}
	var l assignment.Replica
	if r.Learner != nil {
		l = *r.Learner
	}
	if l == o.learner {
		return
	}
	if o.leave != nil {
		o.leave()
		o.leave = nil
	}
	o.learner = l
	if l.Node == "" {
		return
	}
	cx, stop := context.WithCancel(o.ctx)
	o.leave = stop
	for _, k := range log.Kinds {
		delete(o.tracks[k].match, l.Incarnation)
		go o.replicate(cx, o.tracks[k], l, replica.Tail{}, false)
	}
	go o.raise(cx, l)
}

// caughtUp tells whether a learner holds all that is committed, and all that a lost disk of the same machine was known to hold: it takes that one's place.
func (t *track) caughtUp(r assignment.Record, l assignment.Replica) bool {
	m := t.match[l.Incarnation]
	old, _ := r.Replica(l.Node)
	return m > 0 && m >= t.commit && m >= t.match[old.Incarnation]
}

func (o *Leader) raise(ctx context.Context, l assignment.Replica) {
	for o.d.Clock.Sleep(ctx, o.d.Timing.MaxBackoff()/raiseShare) == nil {
		o.mu.Lock()
		up := true
		for _, t := range o.tracks {
			up = up && t.caughtUp(o.Record, l)
		}
		rec := o.Record
		o.mu.Unlock()
		if up {
			o.d.OnPromote(ctx, rec, l)
			_ = o.d.Clock.Sleep(ctx, o.d.Timing.ReconcileInterval())
		}
	}
}

// raiseShare makes the pace at which a learner is looked at.
const raiseShare = 8
