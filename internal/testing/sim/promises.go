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

type promiseReader func(w *World, request []byte, response []byte, sentAt time.Time)

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

func isAccepted(response []byte) bool {
	var parsed callResponse
	return wire.Unmarshal(response, &parsed) == nil && parsed.Problem == nil && parsed.Body != nil &&
		(parsed.Body.OK == nil || *parsed.Body.OK)
}

func readReplicaPromise(w *World, request, response []byte, sentAt time.Time) {
	var target replica.Target
	if wire.Unmarshal(request, &target) == nil && isAccepted(response) {
		w.History.Promise(target.Incarnation, "partition "+string(rune('0'+target.Partition)),
			history.Rank{Number: target.Epoch}, sentAt, time.Now())
	}
}

func readVoterPromise(w *World, request, response []byte, sentAt time.Time) {
	var promise acceptor.PromiseRequest
	if wire.Unmarshal(request, &promise) == nil && isAccepted(response) {
		w.History.Promise(promise.Incarnation, "key "+promise.Key+" under voter set "+string(rune('0'+promise.VoterSet)),
			history.Rank{Number: promise.Epoch.Number, Node: promise.Epoch.Node}, sentAt, time.Now())
	}
}

// recordPromise records the promise that a disk made with a response between machines, if it made
// one.
func (w *World) recordPromise(path string, request []byte, response *http.Response, sentAt time.Time) {
	read, ok := promiseReaders[path]
	if !ok {
		return
	}
	body, err := io.ReadAll(response.Body)
	response.Body = io.NopCloser(bytes.NewReader(body))
	if err == nil {
		read(w, request, body, sentAt)
	}
}
