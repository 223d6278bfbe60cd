package wire

import (
	"net/http"
	"time"

	"postjunction/internal/settings"
	"postjunction/internal/wire/mux"
)

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

// Divisors of the timeouts in the settings.
const (
	dialTimeoutDivisor = 3
	keepaliveDivisor   = 2
	checkDivisor       = 16
)

func muxOptions(timing settings.Timing) mux.Options {
	return mux.Options{
		Timeouts: mux.Timeouts{
			Dial:           timing.CallTimeout() / dialTimeoutDivisor,
			CheckAfter:     timing.SessionTimeout() / checkDivisor,
			KeepaliveAfter: max(timing.SessionTimeout()/keepaliveDivisor, timing.LongPoll()),
			Unacknowledged: timing.SessionTimeout() / keepaliveDivisor,
			Idle:           timing.Keeping,
			Handshake:      timing.Recovery,
		},
		Headers:    []string{"Content-Type", "Content-Encoding", "Connect-Protocol-Version", versionHeader, fromHeader},
		FromHeader: fromHeader,
	}
}

// NewNetwork returns a network that reaches peers over TCP, with one connection to each.
func NewNetwork(timing settings.Timing) *mux.Network { return mux.New(muxOptions(timing)) }

// NewServer returns a server for the calls of peers.
func NewServer(handler http.Handler, timing settings.Timing) *mux.Server {
	return mux.NewServer(handler, muxOptions(timing))
}
