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

type vowReader func(w *World, q []byte, a []byte, asked time.Time)

var vowReaders = map[string]vowReader{
	replica.Seal.Path:     replicaVow,
	replica.Append.Path:   replicaVow,
	acceptor.Promise.Path: voterVow,
	acceptor.Accept.Path:  voterVow,
}

type answered struct {
	Body *struct {
		OK *bool `json:"ok"`
	} `json:"b"`
	Problem *apierror.Error `json:"p"`
}

func yes(a []byte) bool {
	var x answered
	return wire.Unmarshal(a, &x) == nil && x.Problem == nil && x.Body != nil && (x.Body.OK == nil || *x.Body.OK)
}

func replicaVow(w *World, q, a []byte, asked time.Time) {
	var t replica.Target
	if wire.Unmarshal(q, &t) == nil && yes(a) {
		w.History.Vow(t.Incarnation, "partition "+string(rune('0'+t.Partition)), history.Rank{Number: t.Epoch}, asked, time.Now())
	}
}

func voterVow(w *World, q, a []byte, asked time.Time) {
	var t acceptor.PromiseRequest
	if wire.Unmarshal(q, &t) == nil && yes(a) {
		w.History.Vow(t.Incarnation, "key "+t.Key+" under roster "+string(rune('0'+t.VoterSet)), history.Rank{Number: t.Epoch.Number, Node: t.Epoch.Node}, asked, time.Now())
	}
}

// vow reads what a disk promised out of an answer between machines.
func (w *World) vow(path string, q []byte, r *http.Response, asked time.Time) {
	f, ok := vowReaders[path]
	if !ok {
		return
	}
	b, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(b))
	if err == nil {
		f(w, q, b, asked)
	}
}
