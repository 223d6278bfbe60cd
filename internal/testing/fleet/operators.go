package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
)

// begin puts the first description; where its outcome is not known, the very same one again tells.
func (d *Day) begin(ctx context.Context, f *Fleet) (uint64, error) {
	end := time.Now().Add(settings.DefaultTiming.Recovery)
	for {
		seq, err := f.Processes[0].Port().Put(ctx, d.Load.Configuration(0))
		if err == nil || time.Now().After(end) || !apierror.HasCode(err, apierror.OutcomeUnknown) {
			return seq, err
		}
	}
}

func (d *Day) operate(ctx context.Context, f *Fleet, h *history.History, seq uint64) {
	rng := rand.New(rand.NewPCG(d.Seed, 4))
	for {
		wait(ctx, 7*time.Second)
		if ctx.Err() != nil {
			return
		}
		ps := f.Ports("")
		cx, stop := context.WithTimeout(ctx, settings.DefaultTiming.Recovery)
		asked := time.Now()
		cur, err := ps[rng.IntN(len(ps))].Get(cx)
		if err == nil {
			h.ReadBack(cur, asked)
			doc := d.Load.NumberedConfiguration(cur, cur+1+rng.Uint64N(9), "")
			n, e := ps[rng.IntN(len(ps))].Put(cx, doc)
			if e == nil {
				h.AcceptConfiguration(cur, n, string(doc), time.Now())
			} else if apierror.HasCode(e, apierror.ConfigurationInvalid) {
				h.Violate(history.Invalid, "a sound description was turned away: %v", e)
			}
		}
		stop()
	}
}

func watchDescription(ctx context.Context, p *Process, h *history.History, bound time.Duration) {
	for ctx.Err() == nil {
		cx, stop := context.WithTimeout(ctx, time.Second)
		asked := time.Now()
		p.mu.Lock()
		run := fmt.Sprintf("%s#%d", p.Name, p.runs)
		p.mu.Unlock()
		seq, ok, err := p.Port().Shows(cx)
		stop()
		if err == nil && ok {
			h.Show(run, seq, asked, bound)
		}
		wait(ctx, 500*time.Millisecond)
	}
}
