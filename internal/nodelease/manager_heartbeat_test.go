package nodelease

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// A node whose Info has not changed sends a reference to it. It sends the complete Info to a
// control node that lost it.
func TestHeartbeat_InfoReferenceIsAcceptedOrAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		options.Name = "a1"
		store := gossip.NewStore(nil)
		var requests []*HeartbeatRequest
		var server *Server
		start := func() {
			server = newServer("c1", options.Timing(), store, confirmedNow)
		}
		start()
		mux := http.NewServeMux()
		Heartbeat.Handle(mux, func(ctx context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error) {
			requests = append(requests, request)
			return server.Heartbeat(ctx, request)
		})
		self := membership.Info{Name: "a1", BootID: "1", Stage: membership.Serving, LatencyMicros: 500}
		manager := newManager(options, store, func() membership.Info { return self })
		manager.Net = &muxNetwork{mux}
		send := func(complete ...bool) {
			t.Helper()
			requests = nil
			time.Sleep(options.Timing().HeartbeatInterval())
			assert.NilError(t, manager.heartbeat(context.Background(), controlNode))
			assert.Equal(t, len(requests), len(complete))
			for i, request := range requests {
				assert.Equal(t, request.InfoReference == nil, complete[i])
			}
			assert.Equal(t, len(server.Table.Live()), 1)
			info, ok := manager.View.Get("a1")
			assert.Assert(t, ok && info.Stage == self.Stage)
		}
		send(true)
		send(false)
		self.LatencyMicros = 510
		send(false)
		self.Stage = membership.Draining
		send(true)
		send(false)
		start()
		send(false, true)
		send(false)
	})
}
