package lineserver

import (
	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
)

// Nobody is a host with nothing behind it: it gives signs of life and turns all else away.
type Nobody struct{}

type alone struct{ out session.Out }

// Enter takes a visitor in.
func (Nobody) Enter(out session.Out) Guest { return alone{out} }

// Do turns a task away.
func (a alone) Do(t session.Task) {
	if t.Verb == session.Heartbeat {
		a.out(session.Answer{What: session.Alive})
		return
	}
	a.out(session.Answer{What: session.Turned, Re: t.Verb, Topic: t.Topic, Call: t.Call, Err: apierror.New(apierror.NotReady, "nobody serves visits here")})
}

// End does nothing.
func (alone) End() {}
