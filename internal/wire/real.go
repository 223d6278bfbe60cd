package wire

import (
	"net/http"
	"time"

	"postjunction/internal/settings"
	"postjunction/internal/wire/mux"
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	dialShare    = 3
	silenceShare = 2
	quietShare   = 16
)

func lanes(b settings.Timing) mux.Options {
	return mux.Options{
		Timeouts: mux.Timeouts{
			Dial:           b.CallTimeout() / dialShare,
			CheckAfter:     b.SessionTimeout() / quietShare,
			KeepaliveAfter: max(b.SessionTimeout()/silenceShare, b.LongPoll()),
			Unacknowledged: b.SessionTimeout() / silenceShare,
			Idle:           b.Keeping,
			Handshake:      b.Recovery,
		},
		Headers:    []string{"Content-Type", "Content-Encoding", "Connect-Protocol-Version", sequenceHeader, fromHeader},
		FromHeader: fromHeader,
	}
}

// Real reaches peers over TCP, with one connection to each.
func NewNetwork(b settings.Timing) *mux.Network { return mux.New(lanes(b)) }

// Server answers the peers that come to the listener that it is given.
func NewServer(h http.Handler, b settings.Timing) *mux.Server { return mux.NewServer(h, lanes(b)) }
