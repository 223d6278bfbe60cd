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

type askers struct {
	asked []PendingReadersRequest
	tell  func(n int) (*leader.PendingReaders, error)
}

// Do carries a call to the stand-in.
func (response *askers) Do(r *http.Request) (*http.Response, error) {
	m := http.NewServeMux()
	PendingReaders.Handle(m, func(_ context.Context, request *PendingReadersRequest) (*leader.PendingReaders, error) {
		response.asked = append(response.asked, *request)
		return response.tell(len(response.asked))
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, r)
	return w.Result(), nil
}

// Who is asked for readers while a partition moves is asked again until somebody decides; where
// nobody does, that is no yes.
func TestPendingReaders_IsRetried(t *testing.T) {
	bubble(t, func(t *testing.T) {
		moving := []apierror.Code{
			apierror.NotPartitionLeader, apierror.NotReady, apierror.ShuttingDown, apierror.StaleEpoch,
		}
		response := &askers{tell: func(n int) (*leader.PendingReaders, error) {
			if n <= len(moving) {
				return nil, apierror.New(moving[n-1], "moving")
			}
			return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
		}}
		b := newBench(nil)
		b.Net = response
		b.owned("s1")
		u, err := b.PendingReaders(t.Context(), part, 7, time.Second)
		assert.NilError(t, err)
		assert.DeepEqual(t, u, &leader.PendingReaders{Nodes: []string{"a2"}})
		assert.Equal(t, len(response.asked), len(moving)+1)
		assert.DeepEqual(t, response.asked[0], PendingReadersRequest{Partition: part, Offset: 7, MaxWait: time.Second})

		response.tell = func(int) (*leader.PendingReaders, error) {
			return nil, apierror.New(apierror.NotPartitionLeader, "superseded")
		}
		u, err = b.PendingReaders(t.Context(), part, 7, time.Second)
		assert.Assert(t, u == nil && apierror.HasCode(err, apierror.NoPartitionLeader), "%v", err)
	})
}

// That a key is unknown is an answer of the owner, and none to ask again for.
func TestUnknownKeyIsFinal(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := 0
		b := newBench(func(
			_ *bench, _ context.Context, _ string, request *SubmitManyRequest,
		) (*SubmitManyResponse, error) {
			if n++; n == 1 {
				return lost()
			}
			return &SubmitManyResponse{
				Outcomes: []leader.Outcome{{Err: apierror.New(apierror.KeyUnknown, "nothing")}},
			}, nil
		})
		b.owned("s1")
		b.offer(1, time.Minute)
		wait(time.Second)
		assert.Equal(t, b.kind(1), apierror.KeyUnknown)
		assert.Equal(t, n, 2)
	})
}
