package lineserver

import (
	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
)

// Unavailable implements Sessions on a node without a session service. It answers heartbeats and
// rejects every other request.
type Unavailable struct{}

type unavailableSession struct{ sink session.Sink }

// NewSession opens a session.
func (Unavailable) NewSession(sink session.Sink) Session { return unavailableSession{sink} }

// Do answers a heartbeat and rejects any other request.
func (s unavailableSession) Do(request session.Request) {
	if request.Verb == session.Heartbeat {
		s.sink(session.Response{Type: session.Alive})
		return
	}
	s.sink(session.Response{Type: session.Rejected, InReplyTo: request.Verb, Topic: request.Topic,
		CallSeq: request.CallSeq, Err: apierror.New(apierror.NotReady, "this node has no session service")})
}

// End does nothing.
func (unavailableSession) End() {}
