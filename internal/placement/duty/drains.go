package duty

import (
	"context"

	"postjunction/internal/control/client"
	"postjunction/internal/event"
	"postjunction/internal/placement/drain"
)

func (d *Duty) book(ctx context.Context, s *scene) {
	if len(s.drains) == 0 {
		return
	}
	v, err := d.Client.Read(ctx, drain.Key)
	if err != nil {
		return
	}
	b := drain.Parse(v.Body)
	changed := false
	for n, x := range b {
		left := 0
		for _, r := range d.recs {
			if r.Holds(n) {
				left++
			}
		}
		m, live := s.m[n]
		if x.Done && live && m.Boot != x.Boot {
			delete(b, n)
			changed = true
			d.Log.Say(event.DrainReturned, "node", n)
			continue
		}
		if left != x.Left || (left == 0) != x.Done {
			if left == 0 && !x.Done {
				d.Log.Say(event.DrainDone, "node", n)
			}
			x.Left, x.Done = left, left == 0
			if live && !x.Done {
				x.Boot = m.Boot
			}
			b[n] = x
			changed = true
		}
	}
	if changed {
		_, _ = d.Client.Change(ctx, drain.Key, v.Writes, client.Name(), b.Pack())
	}
}
