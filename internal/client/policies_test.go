package client

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/token"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// serviceWithoutLeader is a service whose only partition has no leader.
func serviceWithoutLeader() *Service {
	store := gossip.NewStore(nil)
	store.Apply(gossip.Update{
		VoterSet: &voters.Set{Sequence: 1, Fleet: "fleet00", Layout: voters.Layout{RoutinePartitions: 1}},
		Configuration: &configuration.Config{Sequence: 1, Spaces: []configuration.Space{
			{Name: "kept", Kind: configuration.KindRetained, Topics: []string{"a"}},
		}},
		Records: []assignment.Record{{Epoch: 1, Version: 1}},
	})
	partitions := &router.Router{
		Self: "a1", Clock: clock.Real{}, Timing: settings.DefaultTiming, Store: store, View: membership.NewView(),
	}
	return &Service{
		Clock: clock.Real{}, Timing: settings.DefaultTiming, BodyLimit: 64, Store: store, Router: partitions,
		Limiter: admission.New(8), CheckLease: func() error { return nil },
		Draining: make(chan struct{}),
	}
}

// Guards against a message delivered twice: no_owner promises that a call was not accepted. No node
// can promise that for a number that may have been sent before.
func TestDo_AdmittedCallNumberIsNeverPromisedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, key := serviceWithoutLeader(), "k"
		bearer := token.Token{Client: "v", Generation: 1, Secret: token.NewSecret()}.Encode()
		for verb, code := range map[string]apierror.Code{
			VerbSend: apierror.OutcomeUnknown, VerbWithdraw: apierror.OutcomeUnknown,
			VerbAck: apierror.NoPartitionLeader,
		} {
			request := &Request{
				Verb: verb, Token: bearer, Topics: []string{"kept/a"}, CallSeq: 1, Body: []byte("1"), Key: &key,
			}
			_, err := service.Do(t.Context(), request)
			assert.Equal(t, apierror.From(err).Code, code, "%s: %v", verb, err)
			assert.Assert(t, apierror.From(err).RetryAfter > 0, "%s: %v", verb, err)
		}
		time.Sleep(time.Minute)
	})
}

// A node that rejects all calls returns the codes that send clients to another node.
func TestDo_NodeWithoutLeaseRejectsCalls(t *testing.T) {
	service := serviceWithoutLeader()
	service.CheckLease = func() error { return apierror.New(apierror.NoLease, "so") }
	_, err := service.Do(t.Context(), &Request{Verb: VerbSend, Topics: []string{"kept/a"}, CallSeq: 1})
	assert.Assert(t, apierror.HasCode(err, apierror.NoLease), "%v", err)
}
