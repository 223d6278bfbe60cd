package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
)

// fakeLeader answers PendingReaders by respond and records the requests.
type fakeLeader struct {
	requests []PendingReadersRequest
	respond  func(attempt int) (*leader.PendingReaders, error)
}

// Do delivers a call to the fake leader.
func (l *fakeLeader) Do(r *http.Request) (*http.Response, error) {
	mux := http.NewServeMux()
	PendingReaders.Handle(mux, func(_ context.Context, request *PendingReadersRequest) (*leader.PendingReaders, error) {
		l.requests = append(l.requests, *request)
		return l.respond(len(l.requests))
	})
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w.Result(), nil
}

// A request for pending readers is retried while the partition moves between leaders. Where no
// leader answers, the result is an error, which must not read as "none pending".
func TestPendingReaders_IsRetried(t *testing.T) {
	bubble(t, func(t *testing.T) {
		movingCodes := []apierror.Code{
			apierror.NotPartitionLeader, apierror.NotReady, apierror.ShuttingDown, apierror.StaleEpoch,
		}
		fake := &fakeLeader{respond: func(attempt int) (*leader.PendingReaders, error) {
			if attempt <= len(movingCodes) {
				return nil, apierror.New(movingCodes[attempt-1], "moving")
			}
			return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
		}}
		f := newFixture(nil)
		f.Net = fake
		f.setLeader("s1")
		pending, err := f.PendingReaders(t.Context(), testPartition, 7, time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending, &leader.PendingReaders{Nodes: []string{"a2"}})
		assert.Equal(t, len(fake.requests), len(movingCodes)+1)
		assert.DeepEqual(t, fake.requests[0],
			PendingReadersRequest{Partition: testPartition, Offset: 7, MaxWait: time.Second})

		fake.respond = func(int) (*leader.PendingReaders, error) {
			return nil, apierror.New(apierror.NotPartitionLeader, "superseded")
		}
		pending, err = f.PendingReaders(t.Context(), testPartition, 7, time.Second)
		assert.Assert(t, pending == nil && apierror.HasCode(err, apierror.NoPartitionLeader), "%v", err)
	})
}

// KeyUnknown is a decision of the leader, which is not retried.
func TestUnknownKeyIsFinal(t *testing.T) {
	bubble(t, func(t *testing.T) {
		attempts := 0
		f := newFixture(func(
			_ *fixture, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if attempts++; attempts == 1 {
				return lostCall()
			}
			return &SubmitManyResponse{
				Outcomes: []leader.Outcome{{Err: apierror.New(apierror.KeyUnknown, "nothing")}},
			}, nil
		})
		f.setLeader("s1")
		f.submitCall(1, time.Minute)
		advance(time.Second)
		assert.Equal(t, f.outcome(1), apierror.KeyUnknown)
		assert.Equal(t, attempts, 2)
	})
}
