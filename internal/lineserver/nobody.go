package lineserver

import (
	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
)

// Unavailable is a host with nothing behind it: it gives signs of life and turns all else away.
type Unavailable struct{}

type alone struct{ out session.Sink }

// NewSession takes a visitor in.
func (Unavailable) NewSession(out session.Sink) Session { return alone{out} }

// Do turns a task away.
func (a alone) Do(t session.Request) {
	if t.Verb == session.Heartbeat {
		a.out(session.Response{Type: session.Alive})
		return
	}
	a.out(session.Response{Type: session.Rejected, InReplyTo: t.Verb, Topic: t.Topic, CallSeq: t.CallSeq,
		Err: apierror.New(apierror.NotReady, "nobody serves visits here")})
}

// End does nothing.
func (alone) End() {}
