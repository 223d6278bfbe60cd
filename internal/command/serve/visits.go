package serve

import (
	"time"

	"postjunction/internal/client/session"
	"postjunction/internal/clock"
	"postjunction/internal/lineserver"
	"postjunction/internal/lineserver/jsoncodec"
	"postjunction/internal/node"
	"postjunction/internal/settings"
)

const (
	descriptorParts = 4
	visitParts      = 3
)

// house lets a node's house be a host of lines.
type house struct{ *session.Registry }

// NewSession begins a visit.
func (h house) NewSession(out session.Sink) lineserver.Session { return h.Registry.NewSession(out) }

// visits makes the server of line sessions. Of a bounded number of descriptors, a quarter stays for peers and files.
func visits(n *node.Node, o settings.Options, words lineserver.Codec) Server {
	if words == nil {
		words = jsoncodec.Codec{}
	}
	return lineserver.New(lineserver.Options{
		Sessions: house{n.Sessions}, Codec: words, Clock: clock.Real{},
		Keepalive: time.Duration(o.Keepalive), Retry: o.Timing().MaxBackoff(),
		BodyLimit: func() int { return body(o.BodyLimit, n.Store.Configuration().Limits.Body) }, MaxConnections: o.Descriptors * visitParts / descriptorParts,
	})
}

// body is the largest body in bytes: that of the settings, or less if the description says so.
func body(settings, described int) int {
	if described > 0 {
		return min(settings, described)
	}
	return settings
}
