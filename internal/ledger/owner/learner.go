package owner

import (
	"context"

	"postjunction/internal/ledger/line"
	"postjunction/internal/ledger/replica"
	"postjunction/internal/placement/record"
)

// Update takes news of the record under the same epoch: a learner to bring up.
func (o *Owner) Update(ctx context.Context, r record.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stage != Open || r.Epoch != o.Rec.Epoch {
		return
	}
	var l record.Place
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
	for _, k := range line.Kinds {
		delete(o.tracks[k].match, l.Node)
		go o.replicate(cx, o.tracks[k], l, replica.Tail{}, false)
	}
	go o.raise(cx, l)
}

func (o *Owner) raise(ctx context.Context, l record.Place) {
	for o.d.Clock.Sleep(ctx, o.d.Bounds.Retry()) == nil {
		o.mu.Lock()
		up := true
		for _, t := range o.tracks {
			m := t.match[l.Node]
			up = up && m > 0 && m >= t.commit
		}
		rec := o.Rec
		o.mu.Unlock()
		if up {
			o.d.Promote(ctx, rec, l)
			_ = o.d.Clock.Sleep(ctx, o.d.Bounds.Tend())
		}
	}
}
