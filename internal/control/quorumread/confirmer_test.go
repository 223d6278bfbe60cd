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
	"postjunction/internal/gossip"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// scriptedVoters answer a peek with the error code set for their address. With Unreachable they
// don't answer.
type scriptedVoters struct {
	// mu guards codes.
	mu    sync.Mutex
	codes map[string]apierror.Code
}

func (v *scriptedVoters) set(addr string, code apierror.Code) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.codes[addr] = code
}

func (v *scriptedVoters) Do(request *http.Request) (*http.Response, error) {
	v.mu.Lock()
	code := v.codes[request.URL.Host]
	v.mu.Unlock()
	if code == apierror.Unreachable {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	mux := http.NewServeMux()
	acceptor.Peek.Handle(mux, func(context.Context, *acceptor.PeekRequest) (*acceptor.PeekResponse, error) {
		if code != "" {
			return nil, apierror.New(code, "as scripted")
		}
		return &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{ConfigurationKey: {}}}, nil
	})
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// livePeers has all nodes live, and the voter set of a gossip store.
type livePeers struct{ store *gossip.Store }

func (p livePeers) VoterSet() voters.Set          { return p.store.VoterSet() }
func (livePeers) Live(node string) (string, bool) { return node, true }

// newConfirmer returns a confirmer on c1 with the voters c1, c2 and c3.
func newConfirmer(network *scriptedVoters, timing settings.Timing) *Confirmer {
	store := gossip.NewStore(nil)
	voterSet := voters.NewSet([]voters.Voter{
		{Node: "c1", Addr: "c1"}, {Node: "c2", Addr: "c2"}, {Node: "c3", Addr: "c3"},
	}, voters.Layout{RoutinePartitions: 1})
	store.Apply(gossip.Update{VoterSet: &voterSet})
	proposer := register.New(register.Options{
		Self: "c1", Network: network, Clock: clock.Real{}, Timing: timing, Peers: livePeers{store},
		OnCommit: func(string, acceptor.Value) {},
	})
	return &Confirmer{
		Self: "c1", Net: network, Clock: clock.Real{}, Timing: timing, Store: store, Proposer: proposer,
	}
}

// A control node is isolated once no majority has answered for an isolation timeout, until one
// answers again. Rejections count as answers, though they confirm nothing: voters reject the
// request while the voter set changes.
func TestControlNodeIsIsolatedWhileNoMajorityAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		timing := settings.DefaultTiming
		network := &scriptedVoters{codes: map[string]apierror.Code{}}
		confirmer := newConfirmer(network, timing)
		assert.Assert(t, !confirmer.Latest().Isolated)
		go confirmer.Run(ctx)
		const silent, changing = apierror.Unreachable, apierror.StaleVoterSet
		for _, test := range []struct {
			name     string
			codes    map[string]apierror.Code
			isolated bool
		}{
			{"all answer", nil, false},
			{"one does not answer", map[string]apierror.Code{"c3": silent}, false},
			{"two do not answer", map[string]apierror.Code{"c2": silent, "c3": silent}, true},
			{"all answer again", nil, false},
			{"the voter set changes",
				map[string]apierror.Code{"c1": changing, "c2": changing, "c3": changing}, false},
			{"it changes and two do not answer",
				map[string]apierror.Code{"c1": changing, "c2": silent, "c3": silent}, true},
		} {
			for _, node := range []string{"c1", "c2", "c3"} {
				network.set(node, test.codes[node])
			}
			time.Sleep(timing.IsolationTimeout() + timing.CallTimeout() + 2*timing.HeartbeatInterval())
			assert.Equal(t, confirmer.Latest().Isolated, test.isolated, test.name)
		}
		network.set("c2", "")
		time.Sleep(timing.CallTimeout() + 2*timing.HeartbeatInterval())
		assert.Assert(t, !confirmer.Latest().Isolated)
		network.set("c2", apierror.Unreachable)
		time.Sleep(timing.IsolationTimeout())
		assert.Assert(t, !confirmer.Latest().Isolated, "isolated before the isolation timeout")
		time.Sleep(2 * timing.HeartbeatInterval())
		assert.Assert(t, confirmer.Latest().Isolated, "not isolated after the isolation timeout")
		stop()
		synctest.Wait()
	})
}
