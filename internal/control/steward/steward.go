// Package steward looks after the roster on one control node: it founds the fleet, seats new disks and catches late ones up.
package steward

import (
	"context"
	"math/rand/v2"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/control/founding"
	"postjunction/internal/control/reform"
	"postjunction/internal/control/repair"
	"postjunction/internal/control/roster"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/problem"
)

// Steward runs beside a voter.
type Steward struct {
	Self     string
	Clock    clock.Clock
	Bounds   options.Bounds
	Board    *gossip.Board
	Founder  *founding.Founder
	Reformer *reform.Reformer
	Live     func() []member.Info
	Log      *event.Logger
	Mender   *repair.Mender
	said     string
	swept    time.Time
}

// Run tends the roster until ctx ends.
func (s *Steward) Run(ctx context.Context) {
	for s.Clock.Sleep(ctx, clock.Jitter(s.Bounds.Tend(), 1, rand.Float64())) == nil {
		cx, stop := context.WithTimeout(ctx, s.Bounds.Recovery)
		if r := s.Board.Roster(); r.Sequence == 0 {
			s.found(cx)
		} else {
			s.tend(cx, r)
		}
		stop()
	}
}

func (s *Steward) found(ctx context.Context) {
	r, err := s.Founder.Try(ctx)
	if err == nil {
		s.Log.Say(event.Founded, "fleet", r.Fleet, "voters", len(r.Seats))
		s.Board.Offer(gossip.News{Roster: &r})
		return
	}
	if t := err.Error(); t != s.said {
		s.said = t
		s.Log.Say(event.FoundingWaits, "problem", err)
	}
}

func (s *Steward) tend(ctx context.Context, r roster.Roster) {
	live := map[string]member.Info{}
	for _, i := range s.Live() {
		if i.Disk == options.DiskControl {
			live[i.Name] = i
		}
	}
	first := ""
	for _, x := range r.Seats {
		i, ok := live[x.Node]
		if ok && i.Incarnation == x.Incarnation && i.Roster == r.Sequence && first == "" {
			first = x.Node
		}
	}
	if first != s.Self {
		return
	}
	s.sweep(ctx, r)
	for _, x := range r.Seats {
		i, ok := live[x.Node]
		if !ok {
			continue
		}
		if i.Incarnation != x.Incarnation {
			s.change(ctx, r, r.Replace(x.Node, seat(i)), "disk of "+x.Node+" is another one")
			return
		}
		if i.Fellows != x.Addr {
			s.change(ctx, r, r.Replace(x.Node, seat(i)), x.Node+" is reached at another address")
			return
		}
		if i.Roster < r.Sequence {
			if err := s.Reformer.Catch(ctx, r, x); err != nil {
				s.Log.Say(event.RosterTrouble, "problem", err)
			}
		}
	}
	for _, i := range live {
		if _, ok := r.Seat(i.Name); !ok && i.Roster == 0 && i.Stage == member.Serving {
			s.change(ctx, r, r.Replace("", seat(i)), "a control disk joined: "+i.Name)
			return
		}
	}
}

func (s *Steward) sweep(ctx context.Context, r roster.Roster) {
	now := s.Clock.Now()
	if now.Sub(s.swept) < s.Bounds.Sweep() {
		return
	}
	s.swept = now
	if n := s.Mender.Keys(ctx, r); n > 0 {
		s.Log.Say(event.RepairFound, "keys", n)
	}
}

func seat(i member.Info) roster.Seat {
	return roster.Seat{Node: i.Name, Addr: i.Fellows, Incarnation: i.Incarnation}
}

func (s *Steward) change(ctx context.Context, r, want roster.Roster, why string) {
	s.Log.Say(event.RosterChange, "from", r.Sequence, "reason", why)
	n, err := s.Reformer.Change(ctx, r, want)
	if err != nil {
		if !problem.Has(err, problem.StaleRoster) {
			s.Log.Say(event.RosterTrouble, "problem", err)
		}
		return
	}
	s.Board.Offer(gossip.News{Roster: &n})
}
