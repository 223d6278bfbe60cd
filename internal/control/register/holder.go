package register

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
	"postjunction/internal/keylock"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Peers is what the holder knows of the other nodes.
type Peers interface {
	VoterSet() voters.Set
	Live(node string) (addr string, ok bool)
}

// CommitHandler hears of a key's value once it is on a majority.
type CommitHandler func(key string, v acceptor.Value)

type held struct {
	epoch  epoch.Epoch
	roster uint64
	sure   bool
	value  acceptor.Value
	seen   epoch.Epoch
	hint   string
}

// Proposer claims and keeps keys for one control node.
type Proposer struct {
	self    string
	net     wire.Network
	clk     clock.Clock
	bounds  settings.Timing
	peers   Peers
	told    CommitHandler
	turns   *keylock.Locks
	keys    *keylock.Map[string, held]
	mu      sync.Mutex
	leaving bool
	claims  uint64
	accepts uint64
}

const (
	turnShards = 64
	claimTries = 4
	handsMost  = 2
	claimPace  = 2
	soonMore   = 2
)

// New makes a holder that holds nothing.
func New(self string, n wire.Network, c clock.Clock, b settings.Timing, f Peers, t CommitHandler) *Proposer {
	return &Proposer{self: self, net: n, clk: c, bounds: b, peers: f, told: t, turns: keylock.New(turnShards), keys: keylock.NewMap[string, held]()}
}

func (h *Proposer) get(k string) held {
	v, _ := h.keys.Get(k)
	return v
}

func (h *Proposer) edit(k string, f func(*held)) {
	h.keys.Update(k, func(v held, _ bool) (held, bool) {
		f(&v)
		return v, true
	})
}

// Leads tells whether this node holds a key as far as it knows.
func (h *Proposer) Leads(k string) bool {
	v := h.get(k)
	return v.sure && v.roster == h.peers.VoterSet().Sequence
}

// ObserveEpoch notes who holds a key by an epoch seen elsewhere.
func (h *Proposer) ObserveEpoch(k string, e epoch.Epoch, successor string) {
	h.edit(k, func(v *held) {
		if !e.Less(v.seen) {
			v.seen, v.hint = e, e.Node
			if successor != "" {
				v.hint = successor
			}
		}
	})
}

func (h *Proposer) elsewhere(k string) (string, bool) {
	v := h.get(k)
	if v.sure && v.roster == h.peers.VoterSet().Sequence || v.hint == "" || v.hint == h.self {
		return "", false
	}
	return h.peers.Live(v.hint)
}

// LeaderOf gives who is thought to hold a key.
func (h *Proposer) LeaderOf(k string) string {
	if h.Leads(k) {
		return h.self
	}
	return h.get(k).hint
}

func (h *Proposer) isLeaving() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaving
}

var passing = map[apierror.Code]bool{apierror.Unreachable: true, apierror.NotKeyLeader: true, apierror.ShuttingDown: true, apierror.NotBootstrapped: true}

// Change has a change on a majority before it answers.
func (h *Proposer) Change(ctx context.Context, q *ChangeRequest) (*acceptor.Value, error) {
	doubt := false
	for n := *q; ; {
		if a, ok := h.elsewhere(q.Key); ok && n.Forwards < handsMost {
			n.Forwards++
			v, err := toldBy(ctx, h, func(cx context.Context) (*acceptor.Value, error) { return Change.Call(cx, h.net, h.self, a, &n) })
			if err == nil || !passing[apierror.From(err).Code] {
				return v, h.clear(err, doubt, q)
			}
			doubt = doubt || apierror.HasCode(err, apierror.Unreachable)
			h.forget(q.Key)
			n.Forwards = handsMost
		}
		v, err := h.change(ctx, q, doubt, n.Forwards < handsMost)
		if _, ok := h.elsewhere(q.Key); ok && apierror.HasCode(err, apierror.NotKeyLeader) && n.Forwards < handsMost {
			continue
		}
		return v, err
	}
}

// toldBy asks the one thought to hold a key, for no longer than a holder may take: after that the key is claimed.
func toldBy[A any](ctx context.Context, h *Proposer, f func(context.Context) (A, error)) (A, error) {
	cx, stop := context.WithTimeout(ctx, h.bounds.ForwardTimeout())
	defer stop()
	return f(cx)
}

func (h *Proposer) clear(err error, doubt bool, q *ChangeRequest) error {
	if doubt && apierror.HasCode(err, apierror.StaleBase) {
		return apierror.New(apierror.NoMajority, "%s changed while the holder of the key was lost; the outcome is not known", q.Key)
	}
	return err
}

func (h *Proposer) change(ctx context.Context, q *ChangeRequest, doubt, polite bool) (*acceptor.Value, error) {
	back, err := h.turns.Lock(ctx, q.Key)
	if err != nil {
		return nil, err
	}
	defer back()
	v, err := h.own(ctx, q.Key, polite)
	if err != nil {
		return nil, err
	}
	if q.ChangeID != "" && v.value.ChangeID == q.ChangeID {
		return &v.value, nil
	}
	if v.value.Version != q.BaseVersion && !h.confirm(ctx, q.Key, v) {
		h.edit(q.Key, func(x *held) { x.sure = false })
		return nil, apierror.New(apierror.NotKeyLeader, "%s was claimed elsewhere", q.Key)
	}
	if v.value.Version != q.BaseVersion {
		return nil, h.clear(apierror.New(apierror.StaleBase, "%s was written %d times, the change builds on %d", q.Key, v.value.Version, q.BaseVersion).WithCurrent(v.value.Version), doubt, q)
	}
	n := acceptor.Value{Version: q.BaseVersion + 1, ChangeID: q.ChangeID, Body: q.Body, Metadata: q.Metadata}
	if err := h.accept(ctx, q.Key, v, n); err != nil {
		return nil, err
	}
	return &n, nil
}

func (h *Proposer) forget(k string) {
	h.edit(k, func(v *held) { v.hint = "" })
}

// Read gives the value that was current at some moment after the call began.
func (h *Proposer) Read(ctx context.Context, q *ReadRequest) (*acceptor.Value, error) {
	for handed := q.Forwards; ; {
		if a, ok := h.elsewhere(q.Key); ok && handed < handsMost {
			handed++
			v, err := toldBy(ctx, h, func(cx context.Context) (*acceptor.Value, error) {
				return Read.Call(cx, h.net, h.self, a, &ReadRequest{Key: q.Key, Forwards: handed})
			})
			if err == nil {
				return v, nil
			}
			h.forget(q.Key)
			handed = handsMost
		}
		v, err := h.read(ctx, q.Key, handed < handsMost)
		if _, ok := h.elsewhere(q.Key); ok && apierror.HasCode(err, apierror.NotKeyLeader) && handed < handsMost {
			continue
		}
		return v, err
	}
}

func (h *Proposer) read(ctx context.Context, k string, polite bool) (*acceptor.Value, error) {
	back, err := h.turns.Lock(ctx, k)
	if err != nil {
		return nil, err
	}
	defer back()
	if h.Leads(k) {
		v := h.get(k)
		if h.confirm(ctx, k, v) {
			return &v.value, nil
		}
		h.edit(k, func(x *held) { x.sure = false })
		if _, ok := h.elsewhere(k); ok && polite {
			return nil, apierror.New(apierror.NotKeyLeader, "%s was claimed elsewhere", k)
		}
	}
	if v, ok := h.QuorumRead(ctx, k); ok {
		return &v, nil
	}
	v, err := h.own(ctx, k, polite)
	if err != nil {
		return nil, err
	}
	return &v.value, nil
}

type peeks = []quorum.Result[voters.Voter, *acceptor.PeekResponse]

// QuorumRead reads a key without claiming it, whoever holds it: what a majority has accepted alike was decided, and nothing was decided after it before
// the question. It waits a moment for more than a majority where the first copies differ. Only this node's own voter, or one voter more, gives the
// value itself.
func (h *Proposer) QuorumRead(ctx context.Context, k string) (acceptor.Value, bool) {
	r := h.peers.VoterSet()
	if r.Sequence == 0 {
		return acceptor.Value{}, false
	}
	cx, stop := context.WithTimeout(ctx, h.bounds.ForwardTimeout())
	defer stop()
	peek := func(ctx context.Context, s voters.Voter, brief bool) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, h.net, h.self, s.Addr, &acceptor.PeekRequest{VoterSet: r.Sequence, Incarnation: s.Incarnation, Keys: []string{k}, Brief: brief})
	}
	waiting := false
	g := quorum.Successes(quorum.Gather(cx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.PeekResponse, error) {
		return peek(ctx, s, s.Node != h.self)
	}, func(as peeks) bool {
		g := quorum.Successes(as)
		if len(g) < r.Majority() {
			return false
		}
		if !waiting {
			waiting = true
			go func() {
				_ = h.clk.Sleep(cx, soonMore*h.bounds.InitialBackoff())
				stop()
			}()
		}
		return len(alike(g, k)) >= r.Majority()
	}))
	for _, a := range g {
		h.ObserveEpoch(k, a.Value.Slots[k].Promised, a.Value.Slots[k].Value.Successor)
	}
	as := alike(g, k)
	if len(as) < r.Majority() {
		return acceptor.Value{}, false
	}
	for _, a := range as {
		if a.Target.Node == h.self {
			return a.Value.Slots[k].Value, true
		}
	}
	top := as[0].Value.Slots[k]
	if top.Accepted.IsZero() {
		return top.Value, true
	}
	late, more := context.WithTimeout(ctx, h.bounds.ForwardTimeout())
	defer more()
	a, err := peek(late, as[0].Target, false)
	if err != nil || a.Slots[k].Accepted != top.Accepted || a.Slots[k].Value.Version != top.Value.Version {
		return acceptor.Value{}, false
	}
	return a.Slots[k].Value, true
}

// alike gives the answers that hold the highest copy.
func alike(g peeks, k string) peeks {
	var slots []acceptor.Slot
	for _, a := range g {
		slots = append(slots, a.Value.Slots[k])
	}
	var as peeks
	for _, i := range acceptor.HoldingHighest(slots) {
		as = append(as, g[i])
	}
	return as
}

// ConfirmLeadership tells whether this node still holds a key, as a majority says.
func (h *Proposer) ConfirmLeadership(ctx context.Context, k string) bool {
	back, err := h.turns.Lock(ctx, k)
	if err != nil {
		return false
	}
	defer back()
	if !h.Leads(k) {
		return false
	}
	if h.confirm(ctx, k, h.get(k)) {
		return true
	}
	h.edit(k, func(x *held) { x.sure = false })
	return false
}

func (h *Proposer) confirm(ctx context.Context, k string, v held) bool {
	r := h.peers.VoterSet()
	ctx, stop := context.WithTimeout(ctx, h.bounds.CallTimeout())
	defer stop()
	ours := func(as []quorum.Result[voters.Voter, *acceptor.PeekResponse]) int {
		n := 0
		for _, a := range quorum.Successes(as) {
			if a.Value.Slots[k].Promised == v.epoch {
				n++
			}
		}
		return n
	}
	as := quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.PeekResponse, error) {
		return acceptor.Peek.Call(ctx, h.net, h.self, s.Addr, &acceptor.PeekRequest{VoterSet: v.roster, Incarnation: s.Incarnation, Keys: []string{k}, Brief: true})
	}, func(as []quorum.Result[voters.Voter, *acceptor.PeekResponse]) bool { return ours(as) >= r.Majority() })
	for _, a := range quorum.Successes(as) {
		x := a.Value.Slots[k]
		h.ObserveEpoch(k, x.Promised, x.Value.Successor)
	}
	return r.Sequence == v.roster && ours(as) >= r.Majority()
}

func (h *Proposer) own(ctx context.Context, k string, polite bool) (held, error) {
	for try := 0; ; try++ {
		r := h.peers.VoterSet()
		if r.Sequence == 0 {
			return held{}, apierror.New(apierror.NotBootstrapped, "no roster of control disks is known")
		}
		v := h.get(k)
		if v.sure && v.roster == r.Sequence {
			return v, nil
		}
		if h.isLeaving() {
			return held{}, apierror.New(apierror.ShuttingDown, "this control node is stopping")
		}
		begun := h.clk.Now()
		v, err := h.claim(ctx, k, r)
		if err == nil {
			return v, nil
		}
		if _, ok := h.elsewhere(k); ok && polite && apierror.HasCode(err, apierror.NotKeyLeader) {
			return held{}, err
		}
		if try == claimTries || ctx.Err() != nil || apierror.HasCode(err, apierror.StaleVoterSet) {
			return held{}, err
		}
		pause := h.bounds.Backoff(claimPace*try) / 2
		if apierror.HasCode(err, apierror.NotKeyLeader) {
			pause = max(pause, min(h.clk.Now().Sub(begun), h.bounds.ForwardTimeout()))
		}
		if e := h.clk.Sleep(ctx, clock.Jitter(pause, 2, rand.Float64())); e != nil {
			return held{}, err
		}
	}
}

type slotResponses = []quorum.Result[voters.Voter, *acceptor.SlotResponse]

func granted(as slotResponses) int {
	n := 0
	for _, a := range quorum.Successes(as) {
		if a.Value.Granted {
			n++
		}
	}
	return n
}

func refusals(as slotResponses) int {
	n := 0
	for _, a := range as {
		if a.Err == nil && !a.Value.Granted || apierror.HasCode(a.Err, apierror.StaleVoterSet) || apierror.HasCode(a.Err, apierror.WrongDisk) {
			n++
		}
	}
	return n
}

func (h *Proposer) verdict(k string, r voters.Set, as slotResponses) error {
	if granted(as) >= r.Majority() {
		return nil
	}
	for _, a := range quorum.Successes(as) {
		if !a.Value.Granted {
			h.ObserveEpoch(k, a.Value.Slot.Promised, a.Value.Slot.Value.Successor)
			return apierror.New(apierror.NotKeyLeader, "%s is held under epoch %s", k, a.Value.Slot.Promised)
		}
	}
	for _, a := range as {
		if apierror.HasCode(a.Err, apierror.StaleVoterSet) {
			return a.Err
		}
	}
	p := apierror.New(apierror.NoMajority, "%d of %d control disks answered for %s, %d are needed", granted(as), len(r.Voters), k, r.Majority())
	p.Cause = quorum.FirstError(as)
	return p
}

func (h *Proposer) claim(ctx context.Context, k string, r voters.Set) (held, error) {
	old := h.get(k)
	e := old.seen
	if e.Less(old.epoch) {
		e = old.epoch
	}
	e = e.Next(h.self)
	h.edit(k, func(v *held) { v.sure, v.epoch = false, e })
	h.count(&h.claims)
	cx, stop := context.WithTimeout(ctx, h.bounds.CallTimeout())
	defer stop()
	as := quorum.Gather(cx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.SlotResponse, error) {
		return acceptor.Promise.Call(ctx, h.net, h.self, s.Addr, &acceptor.PromiseRequest{Target: ballot(r, s, k), Epoch: e})
	}, func(as slotResponses) bool { return granted(as) >= r.Majority() })
	if err := h.verdict(k, r, as); err != nil {
		return held{}, err
	}
	top := highest(as)
	v := held{epoch: e, roster: r.Sequence, value: top.Value, seen: e, hint: h.self}
	if top.Accepted.IsZero() {
		v.sure = true
		h.keys.Update(k, func(held, bool) (held, bool) { return v, true })
		return v, nil
	}
	n := top.Value
	n.Successor = ""
	if err := h.accept(ctx, k, v, n); err != nil {
		return held{}, err
	}
	return h.get(k), nil
}

// highest gives the latest acceptance of the voters that granted what was asked.
func highest(as slotResponses) acceptor.Slot {
	var slots []acceptor.Slot
	for _, a := range quorum.Successes(as) {
		if a.Value.Granted {
			slots = append(slots, a.Value.Slot)
		}
	}
	return acceptor.Highest(slots)
}

func ballot(r voters.Set, s voters.Voter, k string) acceptor.Target {
	return acceptor.Target{VoterSet: r.Sequence, Incarnation: s.Incarnation, Key: k}
}

func (h *Proposer) accept(ctx context.Context, k string, v held, n acceptor.Value) error {
	r := h.peers.VoterSet()
	if r.Sequence != v.roster {
		return apierror.New(apierror.StaleVoterSet, "roster %d came into force", r.Sequence)
	}
	h.edit(k, func(x *held) { x.sure, x.epoch = false, v.epoch })
	h.count(&h.accepts)
	cx, stop := context.WithTimeout(context.WithoutCancel(ctx), h.bounds.CallTimeout())
	done := make(chan error, 1)
	go func() {
		defer stop()
		done <- h.round(cx, k, r, v, n)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return apierror.WithCause(apierror.NoMajority, ctx.Err(), "the outcome of writing %s is not known yet", k)
	}
}

func (h *Proposer) round(ctx context.Context, k string, r voters.Set, v held, n acceptor.Value) error {
	as := quorum.Gather(ctx, r.Voters, func(ctx context.Context, s voters.Voter) (*acceptor.SlotResponse, error) {
		cx, stop := context.WithTimeout(context.WithoutCancel(ctx), h.bounds.CallTimeout())
		defer stop()
		return acceptor.Accept.Call(cx, h.net, h.self, s.Addr, &acceptor.AcceptRequest{Target: ballot(r, s, k), Epoch: v.epoch, Value: n})
	}, func(as slotResponses) bool { return granted(as) >= r.Majority() })
	if err := h.verdict(k, r, as); err != nil {
		if refusals(as) == len(r.Voters) {
			return err
		}
		return apierror.New(apierror.NoMajority, "the outcome of writing %s is not known: %v", k, err)
	}
	h.edit(k, func(x *held) {
		if x.epoch == v.epoch {
			*x = held{epoch: v.epoch, roster: r.Sequence, sure: true, value: n, seen: v.epoch, hint: h.self}
		}
	})
	h.told(k, n)
	return nil
}

func (h *Proposer) count(n *uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*n++
}

// Counts gives how many claims and writes were tried.
func (h *Proposer) Counts() (claims, accepts uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims, h.accepts
}

// Claim makes this node the holder of a key unless a live one holds it. A live one that is only thought to hold it is
// asked, since two that each took the other for the holder would both wait.
func (h *Proposer) Claim(ctx context.Context, k string) error {
	a, ok := h.elsewhere(k)
	if !ok {
		return h.take(ctx, k, true)
	}
	hint := h.get(k).hint
	w, err := toldBy(ctx, h, func(cx context.Context) (*LeaderResponse, error) {
		return Leader.Call(cx, h.net, h.self, a, &LeaderRequest{Key: k})
	})
	if err != nil || w.Leads {
		return apierror.WithCause(apierror.NotKeyLeader, err, "%s is held by %s", k, hint)
	}
	if _, live := h.peers.Live(w.Hint); live && w.Hint != h.self && w.Hint != hint {
		h.edit(k, func(v *held) { v.hint = w.Hint })
		return apierror.New(apierror.NotKeyLeader, "%s does not hold %s and names %s", hint, k, w.Hint)
	}
	return h.take(ctx, k, false)
}

func (h *Proposer) take(ctx context.Context, k string, polite bool) error {
	back, err := h.turns.Lock(ctx, k)
	if err != nil {
		return err
	}
	defer back()
	_, err = h.own(ctx, k, polite)
	return err
}

// TransferLeadership names a successor for every key held and has it take them.
func (h *Proposer) TransferLeadership(ctx context.Context, successors []string) int {
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	var ks []string
	h.keys.Range(func(k string, v held) {
		if v.sure {
			ks = append(ks, k)
		}
	})
	if len(successors) == 0 || len(ks) == 0 {
		return 0
	}
	i := map[string]int{}
	for n, k := range ks {
		i[k] = n
	}
	as := quorum.Gather(ctx, ks, func(ctx context.Context, k string) (bool, error) {
		back, err := h.turns.Lock(ctx, k)
		if err != nil {
			return false, err
		}
		defer back()
		to := successors[i[k]%len(successors)]
		v := h.get(k)
		if v.value.Version > 0 {
			n := v.value
			n.Successor = to
			n.Version++
			if err := h.accept(ctx, k, v, n); err != nil {
				return false, err
			}
		}
		h.edit(k, func(x *held) { x.sure, x.hint = false, to })
		a, ok := h.peers.Live(to)
		if !ok {
			return false, apierror.New(apierror.Unreachable, "%s is gone", to)
		}
		_, err = TakeOver.Call(ctx, h.net, h.self, a, &TakeOverRequest{Key: k})
		return err == nil, err
	}, nil)
	return len(quorum.Successes(as))
}

// Serve adds the holder's calls.
func (h *Proposer) Serve(m *http.ServeMux) {
	Change.Handle(m, h.Change)
	Read.Handle(m, h.Read)
	Leader.Handle(m, func(_ context.Context, q *LeaderRequest) (*LeaderResponse, error) {
		return &LeaderResponse{Leads: h.Leads(q.Key), Hint: h.get(q.Key).hint}, nil
	})
	TakeOver.Handle(m, func(ctx context.Context, q *TakeOverRequest) (*acceptor.Empty, error) {
		h.forget(q.Key)
		return &acceptor.Empty{}, h.take(ctx, q.Key, false)
	})
}
