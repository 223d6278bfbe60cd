package register

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// Only copies alike to the highest one count: a higher copy on one disk may or may not be decided, and what lies below it says nothing.
func TestOnlyTheHighestCopiesCountAsAlike(t *testing.T) {
	at := func(n, writes uint64) quorum.Result[voters.Voter, *acceptor.PeekResponse] {
		return quorum.Result[voters.Voter, *acceptor.PeekResponse]{Value: &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{
			"k": {Accepted: epoch.Epoch{Number: n, Node: "c1"}, Value: acceptor.Value{Version: writes}},
		}}}
	}
	for _, x := range []struct {
		name string
		as   peeks
		want int
	}{
		{"all alike", peeks{at(1, 1), at(1, 1), at(1, 1)}, 3},
		{"a higher epoch on one disk", peeks{at(1, 1), at(2, 1), at(1, 1)}, 1},
		{"more writes on one disk", peeks{at(1, 1), at(1, 1), at(1, 2)}, 1},
		{"one disk lags", peeks{at(1, 1), at(2, 2), at(2, 2)}, 2},
		{"none", nil, 0},
	} {
		assert.Equal(t, len(alike(x.as, "k")), x.want, x.name)
	}
}

// core is three control nodes, of which c2 says who holds a key, and all promise it to anybody.
type core struct {
	who      *LeaderResponse
	promised atomic.Int32
}

func (*core) VoterSet() voters.Set {
	return voters.NewSet([]voters.Voter{{Node: "c1", Addr: "c1"}, {Node: "c2", Addr: "c2"}, {Node: "c3", Addr: "c3"}}, voters.Layout{})
}

func (*core) Live(n string) (string, bool) { return n, n != "" && n != "c4" }

func (c *core) Do(q *http.Request) (*http.Response, error) {
	m := http.NewServeMux()
	Leader.Handle(m, func(context.Context, *LeaderRequest) (*LeaderResponse, error) {
		if c.who == nil {
			return nil, apierror.New(apierror.Unreachable, "c2 does not answer")
		}
		return c.who, nil
	})
	acceptor.Promise.Handle(m, func(_ context.Context, q *acceptor.PromiseRequest) (*acceptor.SlotResponse, error) {
		c.promised.Add(1)
		return &acceptor.SlotResponse{Granted: true, Slot: acceptor.Slot{Promised: q.Epoch}}, nil
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

// Who would claim a key asks the one that it takes for the holder: it leaves the key to one that holds it or doesn't answer, follows a live one that is
// named, and claims where the chain ends at itself or nowhere.
func TestClaimAsksWhoIsTakenForTheHolder(t *testing.T) {
	for _, x := range []struct {
		name  string
		who   *LeaderResponse
		hint  string
		claim bool
	}{
		{"it holds the key", &LeaderResponse{Leads: true}, "c2", false},
		{"it does not answer", nil, "c2", false},
		{"it names another one", &LeaderResponse{Hint: "c3"}, "c3", false},
		{"it names one that is gone", &LeaderResponse{Hint: "c4"}, "c1", true},
		{"it names the asker", &LeaderResponse{Hint: "c1"}, "c1", true},
		{"it names itself", &LeaderResponse{Hint: "c2"}, "c1", true},
		{"it names nobody", &LeaderResponse{}, "c1", true},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &core{who: x.who}
				h := New("c1", c, clock.Real{}, settings.DefaultTiming, c, func(string, acceptor.Value) {})
				h.ObserveEpoch("k", epoch.Epoch{Number: 3, Node: "c2"}, "")
				err := h.Claim(t.Context(), "k")
				synctest.Wait()
				assert.Equal(t, h.Leads("k"), x.claim, "%v", err)
				assert.Equal(t, c.promised.Load() > 0, x.claim, "promises that were asked for")
				assert.Equal(t, apierror.HasCode(err, apierror.NotKeyLeader), !x.claim, "%v", err)
				assert.Equal(t, h.LeaderOf("k"), x.hint)
			})
		})
	}
}

// elsewhere is three control disks that promised the key to c2, after c1 had written it.
type elsewhere struct{ core }

func (*elsewhere) Do(q *http.Request) (*http.Response, error) {
	m := http.NewServeMux()
	acceptor.Peek.Handle(m, func(_ context.Context, q *acceptor.PeekRequest) (*acceptor.PeekResponse, error) {
		return &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{q.Keys[0]: {Promised: epoch.Epoch{Number: 9, Node: "c2"}}}}, nil
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

// A control node that lost a key without knowing it doesn't answer from what it holds that a base is stale: it asks a majority first.
func TestAStaleBaseIsAnsweredOnlyByWhoStillHoldsTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &elsewhere{}
		h := New("c1", net, clock.Real{}, settings.Default().Timing(), net, nil)
		mine := epoch.Epoch{Number: 3, Node: "c1"}
		h.edit("k", func(v *held) {
			*v = held{epoch: mine, seen: mine, roster: net.VoterSet().Sequence, sure: true, hint: "c1", value: acceptor.Value{Version: 4}}
		})
		_, err := h.change(t.Context(), &ChangeRequest{Key: "k", BaseVersion: 7}, false, true)
		assert.Assert(t, apierror.HasCode(err, apierror.NotKeyLeader), "%v", err)
		assert.Assert(t, !h.Leads("k"))
	})
}
