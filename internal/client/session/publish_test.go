package session

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/voters"
)

// A node that gets no decision on a number doesn't know whether an earlier attempt under it was
// accepted. Guards against a message delivered twice: a client that is promised that its number
// will never be accepted sends the message under a new one.
func TestSend_RejectedAttemptPromisesNothingOfItsNumber(t *testing.T) {
	rejectAll := func(code apierror.Code) func(*fixture) {
		return func(fixture *fixture) {
			fixture.PartitionLog = &fakePartitionLog{decide: func(*leader.Message) (*leader.Decision, error) {
				return nil, apierror.New(code, "so")
			}}
		}
	}
	cases := map[string]struct {
		reject func(fixture *fixture)
		code   apierror.Code
	}{
		"no lease": {func(fixture *fixture) {
			fixture.CheckLease = func() error { return apierror.New(apierror.NoLease, "so") }
		}, apierror.OutcomeUnknown},
		"shutting down": {func(fixture *fixture) {
			draining := make(chan struct{})
			close(draining)
			fixture.Draining = draining
		}, apierror.OutcomeUnknown},
		"no partition yet": {func(fixture *fixture) {
			fixture.store.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 2, Fleet: "fleet00"}})
		}, apierror.OutcomeUnknown},
		"no leader":       {rejectAll(apierror.NoPartitionLeader), apierror.OutcomeUnknown},
		"backlog":         {rejectAll(apierror.Overloaded), apierror.OutcomeUnknown},
		"uncertain":       {rejectAll(apierror.OutcomeUnknown), apierror.OutcomeUnknown},
		"a higher number": {rejectAll(apierror.CallPassed), apierror.CallPassed},
		"another body":    {rejectAll(apierror.CallAltered), apierror.CallAltered},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
				fixture.PartitionLog = &fakePartitionLog{}
				test.reject(fixture)
				session.Do(Request{Verb: Send, Topic: "kept/a", CallSeq: 7, Body: []byte("x")})
				session.Do(Request{Verb: Withdraw, Topic: "kept/a", CallSeq: 8, Key: "k"})
				assert.DeepEqual(t, fixture.takeResponses(), []string{
					"turned send kept/a " + string(test.code), "turned withdraw kept/a " + string(test.code),
				})
			})
		})
	}
}
