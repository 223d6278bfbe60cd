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

// Line connections may use three quarters of the descriptors. The last quarter is for peers and
// files.
const (
	lineDescriptorsNum   = 3
	lineDescriptorsDenom = 4
)

// sessionRegistry adapts a node's sessions to the line server.
type sessionRegistry struct{ *session.Registry }

// NewSession starts a session for a line connection.
func (r sessionRegistry) NewSession(sink session.Sink) lineserver.Session {
	return r.Registry.NewSession(sink)
}

// newLineServer returns the server of line connections. A nil codec is the product's own JSON
// codec.
func newLineServer(n *node.Node, opts settings.Options, codec lineserver.Codec) Server {
	if codec == nil {
		codec = jsoncodec.Codec{}
	}
	return lineserver.New(lineserver.Options{
		Sessions: sessionRegistry{n.Sessions}, Codec: codec, Clock: clock.Real{},
		Keepalive: time.Duration(opts.Keepalive), AcceptRetryDelay: opts.Timing().MaxBackoff(),
		BodyLimit:      func() int { return bodyLimit(opts.BodyLimit, n.Store.Configuration().Limits.Body) },
		MaxConnections: opts.Descriptors * lineDescriptorsNum / lineDescriptorsDenom,
	})
}

// bodyLimit returns the largest body in bytes: the limit of the settings, or that of the
// configuration if it is lower.
func bodyLimit(fromSettings, fromConfiguration int) int {
	if fromConfiguration > 0 {
		return min(fromSettings, fromConfiguration)
	}
	return fromSettings
}
