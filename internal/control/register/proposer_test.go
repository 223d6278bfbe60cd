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
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// threeVoters are the control nodes c1 to c3, which are all live. c4 is not live.
type threeVoters struct{}

func (threeVoters) VoterSet() voters.Set {
	return voters.NewSet([]voters.Voter{
		{Node: "c1", Addr: "c1"}, {Node: "c2", Addr: "c2"}, {Node: "c3", Addr: "c3"},
	}, voters.Layout{})
}

func (threeVoters) Live(node string) (string, bool) { return node, node != "" && node != "c4" }

// grantingVoters answer a LeaderRequest with response, or with an error if that is nil. They grant
// every prepare request.
type grantingVoters struct {
	threeVoters
	response *LeaderResponse
	promised atomic.Int32
}

func (v *grantingVoters) Do(request *http.Request) (*http.Response, error) {
	mux := http.NewServeMux()
	Leader.Handle(mux, func(context.Context, *LeaderRequest) (*LeaderResponse, error) {
		if v.response == nil {
			return nil, apierror.New(apierror.Unreachable, "c2 does not respond")
		}
		return v.response, nil
	})
	promise := func(_ context.Context, request *acceptor.PromiseRequest) (*acceptor.SlotResponse, error) {
		v.promised.Add(1)
		return &acceptor.SlotResponse{Granted: true, Slot: acceptor.Slot{Promised: request.Epoch}}, nil
	}
	acceptor.Promise.Handle(mux, promise)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// A claim asks the presumed leader first. It fails if that node leads the key or doesn't answer,
// and if that node names another live node, which is then the presumed leader. It succeeds if the
// named node is the asker, the asked node itself, a node that is not live, or none.
func TestClaimAsksThePresumedLeader(t *testing.T) {
	for _, test := range []struct {
		name     string
		response *LeaderResponse
		hint     string
		claims   bool
	}{
		{"it leads the key", &LeaderResponse{Leads: true}, "c2", false},
		{"it does not answer", nil, "c2", false},
		{"it names another one", &LeaderResponse{Hint: "c3"}, "c3", false},
		{"it names one that is not live", &LeaderResponse{Hint: "c4"}, "c1", true},
		{"it names the asker", &LeaderResponse{Hint: "c1"}, "c1", true},
		{"it names itself", &LeaderResponse{Hint: "c2"}, "c1", true},
		{"it names none", &LeaderResponse{}, "c1", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &grantingVoters{response: test.response}
				proposer := New(Options{
					Self: "c1", Network: network, Clock: clock.Real{}, Timing: settings.DefaultTiming, Peers: network,
					OnCommit: func(string, acceptor.Value) {},
				})
				proposer.ObserveEpoch("k", epoch.Epoch{Number: 3, Node: "c2"}, "")
				err := proposer.Claim(t.Context(), "k")
				synctest.Wait()
				assert.Equal(t, proposer.Leads("k"), test.claims, "%v", err)
				assert.Equal(t, network.promised.Load() > 0, test.claims, "whether prepare requests were sent")
				assert.Equal(t, apierror.HasCode(err, apierror.NotKeyLeader), !test.claims, "%v", err)
				assert.Equal(t, proposer.LeaderOf("k"), test.hint)
			})
		})
	}
}

// promisedToOther are three voters that have promised the key to c2 after c1 wrote it.
type promisedToOther struct{ threeVoters }

func (promisedToOther) Do(request *http.Request) (*http.Response, error) {
	mux := http.NewServeMux()
	peek := func(_ context.Context, request *acceptor.PeekRequest) (*acceptor.PeekResponse, error) {
		slot := acceptor.Slot{Promised: epoch.Epoch{Number: 9, Node: "c2"}}
		return &acceptor.PeekResponse{Slots: map[string]acceptor.Slot{request.Keys[0]: slot}}, nil
	}
	acceptor.Peek.Handle(mux, peek)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// A control node that has lost the leadership of a key without noticing must not reject a change as
// stale by the value that it has. It asks a majority first.
func TestChangeRefusesAStaleBaseOnlyAsConfirmedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := promisedToOther{}
		proposer := New(Options{
			Self: "c1", Network: network, Clock: clock.Real{}, Timing: settings.Default().Timing(), Peers: network,
		})
		promised := epoch.Epoch{Number: 3, Node: "c1"}
		proposer.updateState("k", func(state *keyState) {
			*state = keyState{
				epoch:       promised,
				voterSet:    network.VoterSet().Sequence,
				leading:     true,
				value:       acceptor.Value{Version: 4},
				highestSeen: promised,
				leaderHint:  "c1",
			}
		})
		_, err := proposer.changeLocally(t.Context(), &ChangeRequest{Key: "k", BaseVersion: 7}, false, true)
		assert.Assert(t, apierror.HasCode(err, apierror.NotKeyLeader), "%v", err)
		assert.Assert(t, !proposer.Leads("k"))
	})
}
