package lineserver

import (
	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
)

// Nobody is a host with nothing behind it: it gives signs of life and turns all else away.
type Nobody struct{}

type alone struct{ out session.Sink }

// Enter takes a visitor in.
func (Nobody) Enter(out session.Sink) Guest { return alone{out} }

// Do turns a task away.
func (a alone) Do(t session.Request) {
	if t.Verb == session.Heartbeat {
		a.out(session.Response{Type: session.Alive})
		return
	}
	a.out(session.Response{Type: session.Rejected, InReplyTo: t.Verb, Topic: t.Topic, CallSeq: t.CallSeq, Err: apierror.New(apierror.NotReady, "nobody serves visits here")})
}

// End does nothing.
func (alone) End() {}
