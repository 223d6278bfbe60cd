package sim

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/testing/history"
	"postjunction/internal/wire"
)

type promiseReader func(w *World, q []byte, a []byte, asked time.Time)

var promiseReaders = map[string]promiseReader{
	replica.Seal.Path:     readReplicaPromise,
	replica.Append.Path:   readReplicaPromise,
	acceptor.Promise.Path: readVoterPromise,
	acceptor.Accept.Path:  readVoterPromise,
}

type callResponse struct {
	Body *struct {
		OK *bool `json:"ok"`
	} `json:"b"`
	Problem *apierror.Error `json:"p"`
}

func isAccepted(a []byte) bool {
	var x callResponse
	return wire.Unmarshal(a, &x) == nil && x.Problem == nil && x.Body != nil && (x.Body.OK == nil || *x.Body.OK)
}

func readReplicaPromise(w *World, q, a []byte, asked time.Time) {
	var t replica.Target
	if wire.Unmarshal(q, &t) == nil && isAccepted(a) {
		w.History.Promise(t.Incarnation, "partition "+string(rune('0'+t.Partition)), history.Rank{Number: t.Epoch},
			asked, time.Now())
	}
}

func readVoterPromise(w *World, q, a []byte, asked time.Time) {
	var t acceptor.PromiseRequest
	if wire.Unmarshal(q, &t) == nil && isAccepted(a) {
		w.History.Promise(t.Incarnation, "key "+t.Key+" under voter set "+string(rune('0'+t.VoterSet)),
			history.Rank{Number: t.Epoch.Number, Node: t.Epoch.Node}, asked, time.Now())
	}
}

// recordPromise reads what a disk promised out of an answer between machines.
func (w *World) recordPromise(path string, q []byte, r *http.Response, asked time.Time) {
	f, ok := promiseReaders[path]
	if !ok {
		return
	}
	b, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(b))
	if err == nil {
		f(w, q, b, asked)
	}
}
