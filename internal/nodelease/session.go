// Package nodelease keeps a node's session with a control node, and its lease to serve.
package nodelease

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/control/voters"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// HeartbeatRequest renews a session.
type HeartbeatRequest struct {
	Info    membership.Info `json:"info,omitzero"`
	Leaving bool            `json:"left,omitempty"`
	// InfoReference stands for the Info of a run whose last one this control node has, when there is nothing new to say.
	InfoReference *InfoReference `json:"b,omitempty"`
	// KnownVersion says how far the members are known from this control node.
	KnownVersion *membership.Version `json:"h,omitempty"`
	// AcceptsChanges tells that a description may come by its changes.
	AcceptsChanges bool `json:"c,omitempty"`
}

// InfoReference names the run of a node, and which saying of it holds.
type InfoReference struct {
	Name       string `json:"n"`
	BootID     string `json:"b"`
	InfoNumber uint64 `json:"s"`
}

// HeartbeatResponse gives the members, and, when a majority confirmed it, which description is current.
type HeartbeatResponse struct {
	Members []membership.Info `json:"members,omitempty"`
	// Change gives the members by difference, to a node that says what it has.
	Change *membership.Change `json:"c,omitempty"`
	// InfoNumber is the number of the node's last whole saying, 0 when one is asked for.
	InfoNumber uint64 `json:"s,omitempty"`
	// WarmingUp tells that the control node began so lately that it can't know all members yet.
	WarmingUp bool `json:"young,omitempty"`
	// Isolated tells that no majority has answered the control node for so long that its sessions may have gone to others.
	Isolated      bool                   `json:"a,omitempty"`
	Confirmed     bool                   `json:"confirmed"`
	Sequence      uint64                 `json:"sequence"`
	Age           time.Duration          `json:"age"`
	VoterSet      *voters.Set            `json:"roster,omitempty"`
	Configuration *configuration.Config  `json:"description,omitempty"`
	Changes       []configuration.Change `json:"d,omitempty"`
}

// Heartbeat is the session call.
var Heartbeat = wire.NewProcedure[HeartbeatRequest, HeartbeatResponse]("Member", "Pulse", wire.Monotonic, "a session is renewed as of when the pulse arrived; sayings are numbered within a run")

// Confirmation is what a control node knows of the current description, and when it asked. Apart tells that no majority has answered it for a while.
type Confirmation struct {
	OK       bool
	Sequence uint64
	At       time.Time
	Isolated bool
}

// Server is a control node's side of sessions.
type Server struct {
	Self               string
	Seeds              []string
	Clock              clock.Clock
	Timing             settings.Timing
	Net                wire.Network
	Table              *membership.Table
	Store              *gossip.Store
	Info               func() membership.Info
	LatestConfirmation func() Confirmation
	mu                 sync.Mutex
	own                map[string]mine
	met                map[string]string
	news               chan struct{}
	quiet              map[string]quiet
	since              time.Time
	said               uint64
	told               told
}

type mine struct {
	info membership.Info
	at   time.Time
	said uint64
}

// Heartbeat answers a node's heartbeat.
func (h *Server) Heartbeat(_ context.Context, q *HeartbeatRequest) (*HeartbeatResponse, error) {
	now, name := h.Clock.Now(), q.Info.Name
	if q.InfoReference != nil {
		name = q.InfoReference.Name
	}
	h.mu.Lock()
	if h.own == nil {
		h.own, h.since = map[string]mine{}, now
	}
	was, ok := h.own[name]
	is := mine{q.Info, now, was.said}
	if q.InfoReference != nil {
		if !ok || was.info.BootID != q.InfoReference.BootID || was.said != q.InfoReference.InfoNumber {
			h.mu.Unlock()
			return &HeartbeatResponse{}, nil
		}
		is.info = was.info
	} else {
		h.said++
		is.said = h.said
	}
	h.own[name] = is
	young := now.Sub(h.since) < h.Timing.SessionTimeout()
	h.mu.Unlock()
	if !ok || was.info.DiffersMaterially(is.info) {
		select {
		case h.word() <- struct{}{}:
		default:
		}
	}
	h.Table.Observe(is.info, 0)
	a := &HeartbeatResponse{WarmingUp: young}
	if q.KnownVersion != nil {
		c := h.members().Since(*q.KnownVersion)
		a.Change, a.InfoNumber = &c, is.said
	} else {
		a.Members = h.Table.Live()
	}
	c := h.LatestConfirmation()
	if a.Isolated = c.Isolated; c.OK {
		a.Confirmed, a.Sequence, a.Age = true, c.Sequence, h.Clock.Now().Sub(c.At)
	}
	if r := h.Store.VoterSet(); r.Sequence > is.info.VoterSet {
		a.VoterSet = &r
	}
	a.Configuration, a.Changes = h.Store.ConfigurationSince(is.info.Configuration, q.AcceptsChanges)
	return a, nil
}

// word has the other control nodes hear of this one's sessions at once.
func (h *Server) word() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.news == nil {
		h.news = make(chan struct{}, 1)
	}
	return h.news
}

func (h *Server) sessions() []membership.Session {
	now := h.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var s []membership.Session
	for n, m := range h.own {
		age := now.Sub(m.at)
		if age > h.Timing.SessionTimeout() {
			delete(h.own, n)
			continue
		}
		s = append(s, membership.Session{Info: m.info, Age: age})
	}
	return s
}

// Run tells the other control nodes this one's sessions every heartbeat, and at once when there is news of one.
func (h *Server) Run(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Wait(ctx, h.Clock, h.Timing.HeartbeatInterval(), h.word(), nil) {
		if h.alone() {
			go h.seek(ctx)
		}
		for _, addr := range h.others() {
			h.wait(addr)
			go h.exchange(ctx, addr)
		}
	}
}

// alone tells whether this control node has to find others through its seeds.
func (h *Server) alone() bool {
	return h.Store.VoterSet().Sequence == 0 || len(membership.Filter(h.Table.Live(), func(i membership.Info) bool { return i.Disk == settings.DiskControl && i.Name != h.Self })) == 0
}

// seek asks all seeds at once who they are and whom they know.
func (h *Server) seek(ctx context.Context) {
	cx, stop := context.WithTimeout(ctx, h.Timing.CallTimeout())
	defer stop()
	me := h.Info()
	met := map[string]string{}
	for _, a := range quorum.Successes(quorum.Gather(cx, others(h.Seeds, me.PeerAddr), func(ctx context.Context, a string) (*membership.IdentifyResponse, error) {
		return membership.Identify.Call(ctx, h.Net, h.Self, a, &membership.IdentifyRequest{From: &me})
	}, nil)) {
		for _, i := range append(a.Value.Known, a.Value.Info) {
			if i.Disk == settings.DiskControl {
				met[i.Name] = i.PeerAddr
			}
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.met = met
}

func others(addrs []string, me string) []string {
	as := slices.Clone(addrs)
	slices.Sort(as)
	return slices.DeleteFunc(slices.Compact(as), func(a string) bool { return a == me })
}

func (h *Server) exchange(ctx context.Context, addr string) {
	for again := false; ; again = true {
		q := h.task(addr)
		cx, stop := context.WithTimeout(ctx, h.Timing.CallTimeout())
		a, err := membership.Sessions.Call(cx, h.Net, h.Self, addr, q)
		stop()
		away := wire.TurnedAway(err)
		switch {
		case err == nil:
			h.answered(addr)
			h.note(a.Sessions)
			ok := h.hear(a.From, a.Update)
			if h.reached(addr, q, a) && ok || again {
				return
			}
		case again && away:
			h.away(addr)
			return
		case again || !away || h.Clock.Sleep(ctx, h.Timing.RefusalRetryDelay()) != nil:
			return
		}
	}
}

type quiet struct {
	since time.Time
	away  bool
}

func (h *Server) wait(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.quiet == nil {
		h.quiet = map[string]quiet{}
	}
	if _, ok := h.quiet[addr]; !ok {
		h.quiet[addr] = quiet{since: h.Clock.Now()}
	}
}

func (h *Server) answered(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.quiet, addr)
}

func (h *Server) away(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quiet[addr] = quiet{since: h.Clock.Now(), away: true}
}

const quietMost = 2

// Failed tells whether another control node is silent or turns calls away, long before its session lapses.
func (h *Server) Failed(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	q, ok := h.quiet[addr]
	return ok && (q.away || h.Clock.Now().Sub(q.since) > quietMost*h.Timing.HeartbeatInterval())
}

func (h *Server) others() []string {
	var as []string
	h.mu.Lock()
	for _, a := range h.met {
		as = append(as, a)
	}
	h.mu.Unlock()
	for _, s := range h.Store.VoterSet().Voters {
		as = append(as, s.Addr)
	}
	for _, i := range h.Table.Live() {
		if i.Disk == settings.DiskControl {
			as = append(as, i.PeerAddr)
		}
	}
	return others(as, h.Info().PeerAddr)
}

func (h *Server) note(s []membership.Session) {
	for _, x := range s {
		h.Table.Observe(x.Info, x.Age)
	}
}

// Serve adds the host's calls.
func (h *Server) Serve(m *http.ServeMux) {
	Heartbeat.Handle(m, h.Heartbeat)
	membership.Sessions.Handle(m, func(_ context.Context, q *membership.SessionsRequest) (*membership.SessionsResponse, error) {
		h.note(q.Sessions)
		if q.KnownVersion == nil {
			return &membership.SessionsResponse{Sessions: h.sessions()}, nil
		}
		h.hear(q.From, q.Update)
		s, k := h.story(*q.KnownVersion), h.heard(q.From)
		return &membership.SessionsResponse{From: h.Self, Update: &s, KnownVersion: &k}, nil
	})
}

// Manager is a node's side of its session.
type Manager struct {
	Settings settings.Options
	Clock    clock.Clock
	Net      wire.Network
	Store    *gossip.Store
	View     *membership.View
	Info     func() membership.Info
	Local    *Server
	Log      *event.Logger
	mu       sync.Mutex
	with     membership.Info
	until    time.Time
	// heard is when a control node last answered a heartbeat.
	heard time.Time
	live  bool
	known []membership.Info
	met   map[string]mine
	lags  []time.Duration
	// usual is how long the last few answered heartbeats took.
	usual []time.Duration
	// behind tells that a control node confirmed a description newer than this node's.
	behind bool
	// of is what the control node that the session is with was told, and what it told.
	of   string
	copy membership.ListReplica
	last membership.Info
	said uint64
	// young is what that control node last said of its table; wary tells that members it left out may be there.
	young bool
	wary  bool
}

const (
	lagsMost = 6
	// lagAt takes the second shortest, since packets that are lost now and then don't make a machine slow.
	lagAt = 1
)

func (k *Manager) took(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lags = append(k.lags, d)
	k.lags = k.lags[max(0, len(k.lags)-lagsMost):]
}

// ReportedLatency gives the second shortest of the last few heartbeats' times, 0 before there are enough. Times so short that a machine eight times slower is not slow yet
// count as the longest of them: no judgement hangs on which one it is, and each that is told is told to all control nodes.
func (k *Manager) ReportedLatency() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.lags) < lagsMost {
		return 0
	}
	return max(slices.Sorted(slices.Values(k.lags))[lagAt], k.Settings.Timing().SlowThreshold()/settings.SlowFactor)
}

// UsualLatency gives the second shortest of the last few answered heartbeats' times, and whether there were enough. Heartbeats that were not answered don't count, so
// that it says how slow the way is, not whether there is one.
func (k *Manager) UsualLatency() (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.usual) < lagsMost {
		return 0, false
	}
	return slices.Sorted(slices.Values(k.usual))[lagAt], true
}

// CheckLease tells whether this node may serve now.
func (k *Manager) CheckLease() error {
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.until) || !k.behind && !k.until.IsZero() && now.Before(k.until.Add(time.Duration(k.Settings.LeaseExtension))) {
		return nil
	}
	return apierror.New(apierror.NoLease, "no control node confirmed the description within %s", k.Settings.Timing().LeaseDuration()+time.Duration(k.Settings.LeaseExtension))
}

// LeaseConfirmed tells whether the lease stands by a control node's word alone, not by the stretch.
func (k *Manager) LeaseConfirmed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Clock.Now().Before(k.until)
}

// LastHeard tells when this node last had word from the fleet: an answer to a heartbeat, or on a control node the word of a majority.
func (k *Manager) LastHeard() time.Time {
	k.mu.Lock()
	own, at := k.Local != nil && k.with.Name == k.Settings.Name, k.heard
	k.mu.Unlock()
	if own {
		return k.Local.LatestConfirmation().At
	}
	return at
}

// ControlNode gives the control node that the session is with.
func (k *Manager) ControlNode() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.with.Name
}

// Identify says who this node is and whom it knows, with the control nodes that asked it lately.
func (k *Manager) Identify(_ context.Context, q *membership.IdentifyRequest) (*membership.IdentifyResponse, error) {
	a := &membership.IdentifyResponse{Info: k.Info(), Known: slices.Clone(k.View.All())}
	now := k.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.met == nil {
		k.met = map[string]mine{}
	}
	if q.From != nil {
		k.met[q.From.Name] = mine{info: *q.From, at: now}
	}
	for n, m := range k.met {
		if now.Sub(m.at) > k.Settings.Timing().SessionTimeout() {
			delete(k.met, n)
			continue
		}
		if _, ok := k.View.Get(n); !ok {
			a.Known = append(a.Known, m.info)
		}
	}
	return a, nil
}

func (k *Manager) able(is []membership.Info, not string) []membership.Info {
	return membership.Filter(is, func(i membership.Info) bool {
		return i.Disk == settings.DiskControl && i.Stage == membership.Serving && i.Name != not && i.Name != k.Settings.Name
	})
}

// ask asks all seeds at once, and waits no longer than for the first that names a control node.
func (k *Manager) ask(ctx context.Context, not string) []membership.Info {
	cx, stop := context.WithTimeout(ctx, k.Settings.Timing().CallTimeout()/2)
	defer stop()
	var is []membership.Info
	quorum.Gather(cx, others(k.Settings.Seeds, k.Settings.DialAddress()), func(ctx context.Context, a string) (*membership.IdentifyResponse, error) {
		return membership.Identify.Call(ctx, k.Net, k.Settings.Name, a, &membership.IdentifyRequest{})
	}, func(as []quorum.Result[string, *membership.IdentifyResponse]) bool {
		if h := as[len(as)-1]; h.Err == nil {
			is = append(append(is, h.Value.Info), h.Value.Known...)
		}
		return len(k.able(is, not)) > 0
	})
	return is
}

// choose finds a control node: after a session that worked among the members known from it, otherwise through the seeds.
func (k *Manager) choose(ctx context.Context, not string, worked bool) (membership.Info, error) {
	if k.Local != nil && not == "" {
		return k.Info(), nil
	}
	var is []membership.Info
	if worked {
		is = k.able(slices.Concat(k.View.All(), k.known), not)
	}
	if len(is) == 0 {
		is = k.able(slices.Concat(k.ask(ctx, not), k.View.All(), k.known), not)
	}
	if len(is) == 0 {
		return membership.Info{}, apierror.New(apierror.Unreachable, "no control node was found through the seeds")
	}
	near := membership.Filter(is, func(i membership.Info) bool { return i.Zone == k.Settings.Zone })
	if len(near) > 0 && not == "" {
		is = near
	}
	return is[rand.IntN(len(is))], nil
}

// Run keeps the session until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	not, bad, worked, begun := "", 0, false, k.Clock.Now()
	var with membership.Info
	for ctx.Err() == nil {
		if with.Name == "" {
			var err error
			if with, err = k.choose(ctx, not, worked); err != nil {
				with = membership.Info{}
				not, worked = "", false
				k.watch()
				_ = k.Clock.Sleep(ctx, clock.Jitter(k.pace(begun), 1, rand.Float64()))
				continue
			}
			worked = false
			k.Log.Log(event.Joined, "control", with.Name)
			k.mu.Lock()
			k.with = with
			k.mu.Unlock()
		}
		err := k.beat(ctx, with)
		pause := k.pace(begun)
		switch {
		case apierror.HasCode(err, apierror.NotReady):
		case err != nil:
			bad++
			if apierror.HasCode(err, apierror.Unreachable) {
				pause = k.Settings.Timing().RefusalRetryDelay()
			}
		default:
			bad, worked = 0, true
		}
		k.watch()
		if bad >= missesMost {
			k.Log.Log(event.SessionMoved, "control", with.Name)
			not, bad, with = with.Name, 0, membership.Info{}
			continue
		}
		_ = k.Clock.Sleep(ctx, pause)
	}
}

// pace is the pause before the next heartbeat: short while the first lease is to come, for no longer than a session, and a while longer
// under a control node that began lately itself.
func (k *Manager) pace(begun time.Time) time.Duration {
	b := k.Settings.Timing()
	k.mu.Lock()
	defer k.mu.Unlock()
	age := k.Clock.Now().Sub(begun)
	if k.until.IsZero() && age < b.SessionTimeout() || k.young && age < b.SessionTimeout()/2 {
		return clock.Jitter(b.EagerHeartbeatInterval(), 1, rand.Float64())
	}
	return b.HeartbeatInterval()
}

const missesMost = 2

// say heartbeats once: with all that this node says of itself, or with word that nothing of it is new.
func (k *Manager) say(ctx context.Context, with membership.Info) (*HeartbeatResponse, error) {
	if k.of != with.Name {
		k.of, k.copy, k.last, k.said = with.Name, membership.ListReplica{}, membership.Info{}, 0
	}
	for {
		i, m := k.Info(), k.copy.Version()
		q := &HeartbeatRequest{Info: i, KnownVersion: &m, AcceptsChanges: k.Store.AcceptsChanges()}
		if k.said != 0 && i.EquivalentTo(k.last) {
			q.Info, q.InfoReference = membership.Info{}, &InfoReference{Name: i.Name, BootID: i.BootID, InfoNumber: k.said}
		}
		a, err := k.heartbeat(ctx, with, q)
		if err != nil {
			return nil, err
		}
		if q.InfoReference != nil && a.InfoNumber == 0 {
			k.said = 0
			continue
		}
		if q.InfoReference == nil {
			k.last, k.said = i, a.InfoNumber
		}
		if a.Change != nil && !k.copy.Apply(*a.Change) {
			k.copy = membership.ListReplica{}
			continue
		}
		return a, nil
	}
}

// see takes in the members that a control node told, if they are other ones than before. Whom one leaves out that began lately, or that no majority answers,
// may be there all the same: one that is cut off loses sessions which the others keep.
func (k *Manager) see(a *HeartbeatResponse) {
	wary := a.WarmingUp || a.Isolated || !a.Confirmed
	if a.Change != nil {
		if a.Change.Empty() && wary == k.wary && a.WarmingUp == k.young {
			return
		}
		a.Members = k.copy.All()
	}
	k.mu.Lock()
	k.young, k.wary = a.WarmingUp, wary
	k.mu.Unlock()
	if wary {
		k.View.Add(a.Members)
	} else {
		k.View.Set(a.Members)
	}
	if cs := membership.Filter(a.Members, func(i membership.Info) bool { return i.Disk == settings.DiskControl }); len(cs) > 0 {
		k.known = slices.Clone(cs)
	}
}

func (k *Manager) heartbeat(ctx context.Context, with membership.Info, q *HeartbeatRequest) (*HeartbeatResponse, error) {
	if k.Local != nil && with.Name == k.Settings.Name {
		return k.Local.Heartbeat(ctx, q)
	}
	cx, stop := context.WithTimeout(ctx, k.Settings.Timing().SessionTimeout()/3)
	defer stop()
	return Heartbeat.Call(cx, k.Net, k.Settings.Name, with.PeerAddr, q)
}

func (k *Manager) beat(ctx context.Context, with membership.Info) error {
	b := k.Settings.Timing()
	sent := k.Clock.Now()
	a, err := k.say(ctx, with)
	k.took(k.Clock.Now().Sub(sent))
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.heard = k.Clock.Now()
	k.usual = append(k.usual, k.heard.Sub(sent))
	k.usual = k.usual[max(0, len(k.usual)-lagsMost):]
	k.mu.Unlock()
	k.Store.Apply(gossip.Update{VoterSet: a.VoterSet, Configuration: a.Configuration, Changes: a.Changes})
	k.see(a)
	if k.Store.VoterSet().Sequence == 0 {
		return nil
	}
	if !a.Confirmed && a.WarmingUp {
		return apierror.New(apierror.NotReady, "%s began lately and has not confirmed the description yet", with.Name)
	}
	if !a.Confirmed {
		return apierror.New(apierror.NoLease, "%s could not confirm the description", with.Name)
	}
	late := k.Store.Configuration().Sequence < a.Sequence
	k.mu.Lock()
	k.behind = late
	k.mu.Unlock()
	if late {
		return apierror.New(apierror.NoLease, "description %d did not arrive yet", a.Sequence)
	}
	k.mu.Lock()
	if t := sent.Add(b.LeaseDuration() - a.Age); t.After(k.until) {
		k.until = t
	}
	k.mu.Unlock()
	if a.Isolated {
		return apierror.New(apierror.NoLease, "no majority answers %s", with.Name)
	}
	return nil
}

func (k *Manager) watch() {
	ok := k.CheckLease() == nil
	k.mu.Lock()
	was := k.live
	k.live = ok
	k.mu.Unlock()
	if ok && !was {
		k.Log.Log(event.LeaseRegained)
	}
	if !ok && was {
		k.Log.Log(event.LeaseLost)
	}
}
