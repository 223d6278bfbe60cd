// Package session keeps a node's session with a control node, and its licence to serve.
package session

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/control/roster"
	"postjunction/internal/description"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/member"
	"postjunction/internal/options"
	"postjunction/internal/problem"
	"postjunction/internal/wire"
)

// PulseTask renews a session.
type PulseTask struct {
	Info member.Info `json:"info"`
	Left bool        `json:"left,omitempty"`
}

// PulseAnswer gives the members, and, when a majority confirmed it, which description is current.
type PulseAnswer struct {
	Members     []member.Info            `json:"members"`
	Confirmed   bool                     `json:"confirmed"`
	Sequence    uint64                   `json:"sequence"`
	Age         time.Duration            `json:"age"`
	Roster      *roster.Roster           `json:"roster,omitempty"`
	Description *description.Description `json:"description,omitempty"`
}

// Pulse is the session call.
var Pulse = wire.Name[PulseTask, PulseAnswer]("Member", "Pulse")

// Confirmed is what a control node knows of the current description, and when it asked.
type Confirmed struct {
	OK       bool
	Sequence uint64
	At       time.Time
}

// Host is a control node's side of sessions.
type Host struct {
	Self   string
	Seeds  []string
	Clock  clock.Clock
	Bounds options.Bounds
	Net    wire.Network
	Table  *member.Table
	Board  *gossip.Board
	Info   func() member.Info
	Latest func() Confirmed
	mu     sync.Mutex
	own    map[string]mine
}

type mine struct {
	info member.Info
	at   time.Time
}

// Pulse answers a node's pulse.
func (h *Host) Pulse(_ context.Context, q *PulseTask) (*PulseAnswer, error) {
	h.mu.Lock()
	if h.own == nil {
		h.own = map[string]mine{}
	}
	h.own[q.Info.Name] = mine{q.Info, h.Clock.Now()}
	h.mu.Unlock()
	h.Table.Note(q.Info, 0)
	a := &PulseAnswer{Members: h.Table.Live()}
	if c := h.Latest(); c.OK {
		a.Confirmed, a.Sequence, a.Age = true, c.Sequence, h.Clock.Now().Sub(c.At)
	}
	if r := h.Board.Roster(); r.Sequence > q.Info.Roster {
		a.Roster = &r
	}
	if d := h.Board.Description(); d.Sequence > q.Info.Description {
		a.Description = &d
	}
	return a, nil
}

func (h *Host) sessions() []member.Heard {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var s []member.Heard
	for n, m := range h.own {
		age := now.Sub(m.at)
		if age > h.Bounds.Session() {
			delete(h.own, n)
			continue
		}
		s = append(s, member.Heard{Info: m.info, Age: age})
	}
	return s
}

// Run tells the other control nodes this one's sessions every pulse.
func (h *Host) Run(ctx context.Context) {
	for h.Clock.Sleep(ctx, h.Bounds.Pulse()) == nil {
		for _, addr := range h.others() {
			go func() {
				cx, stop := context.WithTimeout(ctx, h.Bounds.Call())
				defer stop()
				a, err := member.Sessions.Call(cx, h.Net, h.Self, addr, &member.SessionsTask{From: h.Self, Sessions: h.sessions()})
				if err == nil {
					h.note(a.Sessions)
				}
			}()
		}
	}
}

func (h *Host) others() []string {
	as := slices.Clone(h.Seeds)
	for _, s := range h.Board.Roster().Seats {
		as = append(as, s.Addr)
	}
	for _, i := range h.Table.Live() {
		if i.Disk == options.DiskControl {
			as = append(as, i.Fellows)
		}
	}
	me := h.Info().Fellows
	slices.Sort(as)
	return slices.DeleteFunc(slices.Compact(as), func(a string) bool { return a == me })
}

func (h *Host) note(s []member.Heard) {
	for _, x := range s {
		h.Table.Note(x.Info, x.Age)
	}
}

// Serve adds the host's calls.
func (h *Host) Serve(m *http.ServeMux) {
	Pulse.Handle(m, h.Pulse)
	member.Sessions.Handle(m, func(_ context.Context, q *member.SessionsTask) (*member.SessionsAnswer, error) {
		h.note(q.Sessions)
		return &member.SessionsAnswer{Sessions: h.sessions()}, nil
	})
}

// Keeper is a node's side of its session.
type Keeper struct {
	Opts  options.Options
	Clock clock.Clock
	Net   wire.Network
	Board *gossip.Board
	View  *member.View
	Info  func() member.Info
	Local *Host
	Log   *event.Logger
	mu    sync.Mutex
	with  member.Info
	until time.Time
	live  bool
	known []member.Info
	lags  []time.Duration
}

const lagsMost = 5

func (k *Keeper) took(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lags = append(k.lags, d)
	k.lags = k.lags[max(0, len(k.lags)-lagsMost):]
}

// Lag gives the median of the last few pulses' times, 0 before there are enough.
func (k *Keeper) Lag() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lags) < lagsMost {
		return 0
	}
	return slices.Sorted(slices.Values(k.lags))[lagsMost/2]
}

// Licensed tells whether this node may serve now.
func (k *Keeper) Licensed() error {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.until) {
		return nil
	}
	return problem.New(problem.Unlicensed, "no control node confirmed the description within %s", k.Opts.Bounds().Licence())
}

// With gives the control node that the session is with.
func (k *Keeper) With() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.with.Name
}

// Hello says who this node is and whom it knows.
func (k *Keeper) Hello(context.Context, *member.HelloTask) (*member.HelloAnswer, error) {
	return &member.HelloAnswer{Info: k.Info(), Known: k.View.All()}, nil
}

func (k *Keeper) choose(ctx context.Context, not string) (member.Info, error) {
	if k.Local != nil && not == "" {
		return k.Info(), nil
	}
	var is []member.Info
	for _, a := range k.Opts.Seeds {
		cx, stop := context.WithTimeout(ctx, k.Opts.Bounds().Call()/2)
		h, err := member.Hello.Call(cx, k.Net, k.Opts.Name, a, &member.HelloTask{})
		stop()
		if err == nil {
			is = append(append(is, h.Info), h.Known...)
		}
	}
	is = append(is, k.View.All()...)
	is = append(is, k.known...)
	is = member.Pick(is, func(i member.Info) bool {
		return i.Disk == options.DiskControl && i.Stage == member.Serving && i.Name != not && i.Name != k.Opts.Name
	})
	if len(is) == 0 {
		return member.Info{}, problem.New(problem.Unreachable, "no control node was found through the seeds")
	}
	near := member.Pick(is, func(i member.Info) bool { return i.Zone == k.Opts.Zone })
	if len(near) > 0 && not == "" {
		is = near
	}
	return is[rand.IntN(len(is))], nil
}

// Run keeps the session until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	b := k.Opts.Bounds()
	not, bad := "", 0
	var with member.Info
	for ctx.Err() == nil {
		if with.Name == "" {
			var err error
			if with, err = k.choose(ctx, not); err != nil {
				with = member.Info{}
				not = ""
				k.watch()
				_ = k.Clock.Sleep(ctx, clock.Jitter(b.Pulse(), 1, rand.Float64()))
				continue
			}
			k.Log.Say(event.Joined, "control", with.Name)
			k.mu.Lock()
			k.with = with
			k.mu.Unlock()
		}
		if err := k.beat(ctx, with); err != nil {
			bad++
		} else {
			bad = 0
		}
		k.watch()
		if bad >= missesMost {
			k.Log.Say(event.SessionMoved, "control", with.Name)
			not, bad, with = with.Name, 0, member.Info{}
			continue
		}
		_ = k.Clock.Sleep(ctx, b.Pulse())
	}
}

const missesMost = 2

func (k *Keeper) beat(ctx context.Context, with member.Info) error {
	b := k.Opts.Bounds()
	sent := k.Clock.Now()
	q := &PulseTask{Info: k.Info()}
	var a *PulseAnswer
	var err error
	if k.Local != nil && with.Name == k.Opts.Name {
		a, err = k.Local.Pulse(ctx, q)
	} else {
		cx, stop := context.WithTimeout(ctx, b.Session()/2)
		a, err = Pulse.Call(cx, k.Net, k.Opts.Name, with.Fellows, q)
		stop()
	}
	k.took(k.Clock.Now().Sub(sent))
	if err != nil {
		return err
	}
	k.Board.Offer(gossip.News{Roster: a.Roster, Description: a.Description})
	k.View.Set(a.Members)
	if cs := member.Pick(a.Members, func(i member.Info) bool { return i.Disk == options.DiskControl }); len(cs) > 0 {
		k.known = slices.Clone(cs)
	}
	if k.Board.Roster().Sequence == 0 {
		return nil
	}
	if !a.Confirmed {
		return problem.New(problem.Unlicensed, "%s could not confirm the description", with.Name)
	}
	if k.Board.Description().Sequence < a.Sequence {
		return problem.New(problem.Unlicensed, "description %d did not arrive yet", a.Sequence)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := sent.Add(b.Licence() - a.Age); t.After(k.until) {
		k.until = t
	}
	return nil
}

func (k *Keeper) watch() {
	ok := k.Licensed() == nil
	k.mu.Lock()
	was := k.live
	k.live = ok
	k.mu.Unlock()
	if ok && !was {
		k.Log.Say(event.LicenceBack)
	}
	if !ok && was {
		k.Log.Say(event.LicenceLost)
	}
}
