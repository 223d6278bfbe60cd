package lines

import (
	"postjunction/internal/apierror"
	"postjunction/internal/visitor/visit"
)

// Nobody is a host with nothing behind it: it gives signs of life and turns all else away.
type Nobody struct{}

type alone struct{ out visit.Out }

// Enter takes a visitor in.
func (Nobody) Enter(out visit.Out) Guest { return alone{out} }

// Do turns a task away.
func (a alone) Do(t visit.Task) {
	if t.Verb == visit.Heartbeat {
		a.out(visit.Answer{What: visit.Alive})
		return
	}
	a.out(visit.Answer{What: visit.Turned, Re: t.Verb, Topic: t.Topic, Call: t.Call, Err: apierror.New(apierror.NotReady, "nobody serves visits here")})
}

// End does nothing.
func (alone) End() {}
