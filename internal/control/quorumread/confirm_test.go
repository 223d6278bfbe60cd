package quorumread

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/register"
	"postjunction/internal/control/voters"
	"postjunction/internal/gossip"
	"postjunction/internal/settings"
)

// voterSet are three disks that answer questions as they are told to.
type voterSet struct {
	mu  sync.Mutex
	say map[string]apierror.Code
}

func (v *voterSet) set(addr string, k apierror.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.say[addr] = k
}

func (v *voterSet) Do(q *http.Request) (*http.Response, error) {
	v.mu.Lock()
	k := v.say[q.URL.Host]
	v.mu.Unlock()
	if k == apierror.Unreachable {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	m := http.NewServeMux()
	acceptor.Peek.Handle(m, func(context.Context, *acceptor.PeekRequest) (*acceptor.PeekResponse, error) {
		if k != "" {
			return nil, apierror.New(k, "so")
		}
		return &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{ConfigurationKey: {}}}, nil
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

type peers struct{ b *gossip.Store }

func (f peers) VoterSet() voters.Set       { return f.b.VoterSet() }
func (peers) Live(n string) (string, bool) { return n, true }

// A control node is apart once no majority has answered for a third of a lease, and no longer when one does. Voters that turn the question away, as while the
// roster changes, have answered, though they confirm nothing.
func TestWhoIsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		b, bounds := gossip.NewStore(nil), settings.DefaultTiming
		r := voters.NewSet([]voters.Voter{{Node: "c1", Addr: "c1"}, {Node: "c2", Addr: "c2"}, {Node: "c3", Addr: "c3"}}, voters.Layout{RoutinePartitions: 1})
		b.Apply(gossip.Update{VoterSet: &r})
		v := &voterSet{say: map[string]apierror.Code{}}
		h := register.New(register.Options{
			Self: "c1", Network: v, Clock: clock.Real{}, Timing: bounds, Peers: peers{b},
			OnCommit: func(string, acceptor.Value) {},
		})
		f := &Confirmer{Self: "c1", Net: v, Clock: clock.Real{}, Timing: bounds, Store: b, Proposer: h}
		assert.Assert(t, !f.Latest().Isolated)
		go f.Run(ctx)
		for _, x := range []struct {
			name  string
			say   map[string]apierror.Code
			apart bool
		}{
			{"all answer", nil, false},
			{"one is silent", map[string]apierror.Code{"c3": apierror.Unreachable}, false},
			{"two are silent", map[string]apierror.Code{"c2": apierror.Unreachable, "c3": apierror.Unreachable}, true},
			{"all are back", nil, false},
			{"the roster changes", map[string]apierror.Code{"c1": apierror.StaleVoterSet, "c2": apierror.StaleVoterSet, "c3": apierror.StaleVoterSet}, false},
			{"it changes and two are silent", map[string]apierror.Code{"c1": apierror.StaleVoterSet, "c2": apierror.Unreachable, "c3": apierror.Unreachable}, true},
		} {
			for _, n := range []string{"c1", "c2", "c3"} {
				v.set(n, x.say[n])
			}
			time.Sleep(bounds.IsolationTimeout() + bounds.CallTimeout() + 2*bounds.HeartbeatInterval())
			assert.Equal(t, f.Latest().Isolated, x.apart, x.name)
		}
		v.set("c2", "")
		time.Sleep(bounds.CallTimeout() + 2*bounds.HeartbeatInterval())
		assert.Assert(t, !f.Latest().Isolated)
		v.set("c2", apierror.Unreachable)
		time.Sleep(bounds.IsolationTimeout())
		assert.Assert(t, !f.Latest().Isolated, "too soon")
		time.Sleep(2 * bounds.HeartbeatInterval())
		assert.Assert(t, f.Latest().Isolated, "too late")
		stop()
		synctest.Wait()
	})
}
