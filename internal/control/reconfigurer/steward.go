// Package reconfigurer looks after the roster on one control node: it founds the fleet, seats new disks and catches late ones up.
package reconfigurer

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/bootstrap"
	"postjunction/internal/control/reconfig"
	"postjunction/internal/control/repair"
	"postjunction/internal/control/voters"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// Reconfigurer runs beside a voter.
type Reconfigurer struct {
	Self         string
	Clock        clock.Clock
	Timing       settings.Timing
	Store        *gossip.Store
	Bootstrapper *bootstrap.Bootstrapper
	Executor     *reconfig.Executor
	Live         func() []membership.Info
	// Changed gives what is closed at news of the members.
	Changed func() <-chan struct{}
	// Sealed gives the roster that is sealed on this disk, and Sealing what is closed when one is.
	Sealed   func() uint64
	Sealing  func() <-chan struct{}
	Log      *event.Logger
	Repairer *repair.Repairer
	said     string
	sealed   time.Time
	swept    time.Time
	gone     map[string]time.Time
	zones    map[string]string
	waits    bool
}

// Run tends the roster until ctx ends: at once on news of a control disk, and at its own pace.
func (s *Reconfigurer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ch, seal := s.Changed(), s.Sealing()
		pace := clock.Jitter(s.Timing.ReconcileInterval(), 1, rand.Float64())
		cx, stop := context.WithTimeout(ctx, s.Timing.Recovery)
		if r := s.Store.VoterSet(); r.Sequence == 0 {
			s.found(cx)
			pace = s.Timing.MaxBackoff()
		} else {
			s.waits = false
			s.tend(cx, r)
			if s.waits {
				pace = s.Timing.MaxBackoff()
			} else if r.SpareVoters() > 0 {
				pace /= spareShare
			}
		}
		stop()
		if s.Clock.Sleep(ctx, s.Timing.MaxBackoff()/gatherShare) != nil {
			return
		}
		clock.Wait(ctx, s.Clock, pace, ch, seal)
	}
}

// gatherShare makes the pause in which disks that join together are gathered into one change.
const gatherShare = 2

// spareShare makes the pace at which voters that are gone are noticed where seats can be given up.
const spareShare = 2

func (s *Reconfigurer) found(ctx context.Context) {
	r, err := s.Bootstrapper.Try(ctx)
	if err == nil {
		s.Log.Log(event.Bootstrapped, "fleet", r.Fleet, "voters", len(r.Voters))
		s.Store.Apply(gossip.Update{VoterSet: &r})
		return
	}
	if t := err.Error(); t != s.said {
		s.said = t
		s.Log.Log(event.BootstrapWaits, "problem", err)
	}
}

func (s *Reconfigurer) tend(ctx context.Context, r voters.Set) {
	live := map[string]membership.Info{}
	for _, i := range s.Live() {
		if i.Disk == settings.DiskControl {
			live[i.Name] = i
		}
	}
	s.miss(r, live)
	first := ""
	for _, x := range r.Voters {
		i, ok := live[x.Node]
		if ok && i.Incarnation == x.Incarnation && i.VoterSet == r.Sequence && first == "" {
			first = x.Node
		}
	}
	if first != s.Self {
		s.finish(ctx, r, live, first)
		return
	}
	s.sealed = time.Time{}
	s.sweep(ctx, r)
	var ins []voters.Voter
	var whys []string
	var late []voters.Voter
	for _, x := range r.Voters {
		i, ok := live[x.Node]
		switch {
		case !ok:
		case i.Incarnation != x.Incarnation:
			ins, whys = append(ins, seat(i)), append(whys, "disk of "+x.Node+" is another one")
		case i.PeerAddr != x.Addr:
			ins, whys = append(ins, seat(i)), append(whys, x.Node+" is reached at another address")
		case i.VoterSet < r.Sequence:
			late = append(late, x)
		}
	}
	var news []membership.Info
	for _, n := range slices.Sorted(maps.Keys(live)) {
		i := live[n]
		if _, ok := r.Voter(n); !ok && i.VoterSet < r.Sequence && i.Stage == membership.Serving {
			news = append(news, i)
		}
	}
	outs := s.pair(news)
	var gone []string
	for _, i := range news {
		out, ok := outs[i.Name]
		switch {
		case !ok:
			ins, whys = append(ins, seat(i)), append(whys, "a control disk joined: "+i.Name)
		case s.ripe(out, i):
			ins, gone, whys = append(ins, seat(i)), append(gone, out), append(whys, i.Name+" takes the seat of "+out+", which is gone")
		default:
			s.waits = true
		}
	}
	if !s.waits {
		for _, n := range s.surplus(r.Without(gone...).Replace(ins...)) {
			gone, whys = append(gone, n), append(whys, n+" is gone, and the seats suffice without it")
		}
	}
	if len(ins)+len(gone) > 0 {
		s.change(ctx, r, r.Without(gone...).Replace(ins...), strings.Join(whys, "; "))
		return
	}
	quorum.Gather(ctx, late, func(ctx context.Context, x voters.Voter) (bool, error) {
		err := s.Executor.CatchUp(ctx, r, x)
		if err != nil {
			s.Log.Log(event.VoterSetChangeFailed, "problem", err)
		}
		return err == nil, err
	}, nil)
}

// finish ends a change of the roster that another voter began, when the roster has been sealed here for longer than that takes: who began it may
// be lost, and nobody decides anything until it ended. The voters step in one after the other; epochs settle it where two do.
func (s *Reconfigurer) finish(ctx context.Context, r voters.Set, live map[string]membership.Info, first string) {
	if s.Sealed() != r.Sequence {
		s.sealed = time.Time{}
		return
	}
	s.waits = true
	now, wait := s.Clock.Now(), s.Timing.ForwardTimeout()
	if s.sealed.IsZero() {
		s.sealed = now
	}
	for _, x := range r.Voters {
		if x.Node == s.Self {
			break
		}
		if _, ok := live[x.Node]; ok && x.Node != first {
			wait += s.Timing.SessionTimeout() / 2
		}
	}
	if now.Sub(s.sealed) < wait {
		return
	}
	s.sealed = now
	s.change(ctx, r, r.Replace(), "the change that was begun does not end")
}

// miss notes which seats are not live and since when, and the zones of those that are.
func (s *Reconfigurer) miss(r voters.Set, live map[string]membership.Info) {
	was := s.gone
	s.gone = map[string]time.Time{}
	if s.zones == nil {
		s.zones = map[string]string{}
	}
	for _, x := range r.Voters {
		if i, ok := live[x.Node]; ok {
			s.zones[x.Node] = i.Zone
			continue
		}
		s.gone[x.Node] = s.Clock.Now()
		if t, ok := was[x.Node]; ok {
			s.gone[x.Node] = t
		}
	}
}

// pair gives newcomers the seats of voters that are gone, each at most one: that of their zone first, then the one that is gone for longest.
func (s *Reconfigurer) pair(news []membership.Info) map[string]string {
	gone := slices.SortedFunc(maps.Keys(s.gone), func(a, b string) int {
		return cmp.Or(s.gone[a].Compare(s.gone[b]), strings.Compare(a, b))
	})
	outs := map[string]string{}
	for _, near := range []bool{true, false} {
		for _, i := range news {
			k := slices.IndexFunc(gone, func(g string) bool { return !near || s.zones[g] == i.Zone })
			if _, ok := outs[i.Name]; ok || k < 0 {
				continue
			}
			outs[i.Name] = gone[k]
			gone = slices.Delete(gone, k, k+1)
		}
	}
	return outs
}

// surplus lists the seats, among those beyond what the fleet was founded with, whose voters are gone: a newcomer was seated before they went.
func (s *Reconfigurer) surplus(r voters.Set) []string {
	var gone []string
	for _, x := range r.Voters {
		t, ok := s.gone[x.Node]
		if !ok || len(gone) >= r.SpareVoters() {
			continue
		}
		if s.Clock.Now().Sub(t) < s.Timing.SessionTimeout()/2 {
			s.waits = true
			continue
		}
		gone = append(gone, x.Node)
	}
	return gone
}

// ripe tells whether a voter is gone for long enough that its seat may be taken, which is longer for a newcomer of another zone.
func (s *Reconfigurer) ripe(out string, i membership.Info) bool {
	wait := s.Timing.SessionTimeout()
	if s.zones[out] == i.Zone {
		wait /= 2
	}
	return s.Clock.Now().Sub(s.gone[out]) >= wait
}

func (s *Reconfigurer) sweep(ctx context.Context, r voters.Set) {
	now := s.Clock.Now()
	if now.Sub(s.swept) < s.Timing.SweepInterval() {
		return
	}
	s.swept = now
	if n := s.Repairer.Repair(ctx, r); n > 0 {
		s.Log.Log(event.RepairFound, "keys", n)
	}
}

func seat(i membership.Info) voters.Voter {
	return voters.Voter{Node: i.Name, Addr: i.PeerAddr, Incarnation: i.Incarnation}
}

func (s *Reconfigurer) change(ctx context.Context, r, want voters.Set, why string) {
	s.Log.Log(event.VoterSetChange, "from", r.Sequence, "reason", why)
	n, err := s.Executor.Change(ctx, r, want)
	if err != nil {
		if !apierror.HasCode(err, apierror.StaleVoterSet) {
			s.Log.Log(event.VoterSetChangeFailed, "problem", err)
		}
		return
	}
	s.Store.Apply(gossip.Update{VoterSet: &n})
}
