package wire

import (
	"net/http"
	"time"

	"postjunction/internal/settings"
	"postjunction/internal/wire/lane"
)

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

const (
	dialShare    = 3
	silenceShare = 2
	quietShare   = 16
)

func lanes(b settings.Bounds) lane.Options {
	return lane.Options{
		Times: lane.Times{
			Dial:    b.Call() / dialShare,
			Quiet:   b.Session() / quietShare,
			Silence: max(b.Session()/silenceShare, b.Hold()),
			Unheard: b.Session() / silenceShare,
			Idle:    b.Keeping,
			Begin:   b.Recovery,
		},
		Headers: []string{"Content-Type", "Content-Encoding", "Connect-Protocol-Version", sequenceHeader, fromHeader},
		From:    fromHeader,
	}
}

// Real reaches peers over TCP, with one connection to each.
func Real(b settings.Bounds) *lane.Network { return lane.New(lanes(b)) }

// Server answers the peers that come to the listener that it is given.
func Server(h http.Handler, b settings.Bounds) *lane.Server { return lane.NewServer(h, lanes(b)) }
