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

// Control nodes send each other only changes, and each continues to know a session that has not
// changed.
func TestExchangeSessions_SendsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		servers := map[string]*Server{}
		var request *membership.SessionsRequest
		start := func(name, peer string) {
			server := newServer(name, options.Timing(), gossip.NewStore(nil),
				func() Confirmation { return Confirmation{} })
			server.Net = &funcNetwork{func(r *http.Request) (*http.Response, error) {
				mux := http.NewServeMux()
				servers[peer].Serve(mux)
				return (&muxNetwork{mux}).Do(r)
			}}
			servers[name] = server
		}
		start("c1", "c2")
		start("c2", "c1")
		heartbeat := func(name, stage string) {
			info := membership.Info{Name: name, Stage: stage}
			request := &HeartbeatRequest{Info: info, KnownVersion: &membership.Version{}}
			_, err := servers["c1"].Heartbeat(context.Background(), request)
			assert.NilError(t, err)
		}
		round := func() {
			time.Sleep(options.Timing().HeartbeatInterval())
			request = servers["c1"].sessionsRequest("c2")
			servers["c1"].exchangeSessions(context.Background(), "c2")
		}
		stages := func() map[string]string {
			result := map[string]string{}
			for _, info := range servers["c2"].Table.Live() {
				result[info.Name] = info.Stage
			}
			return result
		}
		heartbeat("a", membership.Serving)
		round()
		assert.DeepEqual(t, stages(), map[string]string{"a": membership.Serving})
		heartbeat("b", membership.Serving)
		round()
		assert.DeepEqual(t, stages(), map[string]string{"a": membership.Serving, "b": membership.Serving})
		for range 20 {
			heartbeat("a", membership.Serving)
			round()
		}
		assert.Assert(t, request.Update != nil && request.Update.Change.Empty())
		assert.DeepEqual(t, stages(), map[string]string{"a": membership.Serving})
		start("c2", "c1")
		heartbeat("a", membership.Draining)
		round()
		assert.DeepEqual(t, stages(), map[string]string{"a": membership.Draining})
		start("c1", "c2")
		heartbeat("a", membership.Serving)
		round()
		assert.DeepEqual(t, stages(), map[string]string{"a": membership.Serving})
	})
}

// A build that does not support changes receives and sends complete lists.
func TestOlderBuilds_GetCompleteLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		options.Name = "a1"
		store := gossip.NewStore(nil)
		server := newServer("c1", options.Timing(), store, confirmedNow)
		mux := http.NewServeMux()
		Heartbeat.Handle(mux, func(ctx context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error) {
			assert.Assert(t, request.InfoReference == nil)
			return server.Heartbeat(ctx, &HeartbeatRequest{Info: request.Info, Leaving: request.Leaving})
		})
		var requests []*membership.SessionsRequest
		membership.Sessions.Handle(mux,
			func(_ context.Context, request *membership.SessionsRequest) (*membership.SessionsResponse, error) {
				requests = append(requests, request)
				sessions := []membership.Session{{Info: membership.Info{Name: "b"}}}
				return &membership.SessionsResponse{Sessions: sessions}, nil
			})
		manager := newManager(options, store,
			func() membership.Info { return membership.Info{Name: "a1", BootID: "1"} })
		manager.Net = &muxNetwork{mux}
		for range 4 {
			time.Sleep(options.Timing().HeartbeatInterval())
			assert.NilError(t, manager.heartbeat(context.Background(), controlNode))
			_, ok := manager.View.Get("a1")
			assert.Assert(t, ok)
		}
		server.Net = &muxNetwork{mux}
		for range 4 {
			time.Sleep(options.Timing().HeartbeatInterval())
			server.exchangeSessions(context.Background(), "c2")
		}
		assert.Equal(t, len(requests), 4)
		for _, request := range requests {
			assert.Assert(t, request.Update == nil && len(request.Sessions) == 1)
		}
		assert.Equal(t, len(server.Table.Live()), 2)
		serverMux := http.NewServeMux()
		server.Serve(serverMux)
		response, err := membership.Sessions.Call(context.Background(), &muxNetwork{serverMux}, "c2", "c1",
			&membership.SessionsRequest{From: "c2"})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Sessions), 1)
		assert.Assert(t, response.Update == nil)
	})
}

// A configuration that reaches every node changes no member. A member is reported only once it has
// had an older configuration for longer than a lease, and again once it has the newer one.
func TestCurrentMembers_ReportsOnlyStaleConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := settings.DefaultTiming
		sequence := uint64(7)
		server := newServer("c1", timing, gossip.NewStore(nil), func() Confirmation {
			return Confirmation{OK: true, Sequence: sequence, At: time.Now()}
		})
		configurations := map[string]uint64{"a1": 7, "a2": 7, "a3": 7}
		var replica membership.ListReplica
		changed := func(heartbeats int) (updates []membership.Info) {
			for range heartbeats {
				time.Sleep(timing.HeartbeatInterval())
				for _, name := range []string{"a1", "a2", "a3"} {
					version := replica.Version()
					info := membership.Info{Name: name, BootID: "1", Stage: membership.Serving,
						Configuration: configurations[name]}
					response, err := server.Heartbeat(context.Background(),
						&HeartbeatRequest{Info: info, KnownVersion: &version})
					assert.NilError(t, err)
					assert.Equal(t, len(response.Change.ConfigurationOnly), 0)
					if name == "a1" {
						assert.Assert(t, replica.Apply(*response.Change))
						updates = append(append(updates, response.Change.Updated...),
							make([]membership.Info, len(response.Change.Removed))...)
					}
				}
			}
			return updates
		}
		heartbeatsPastLease := int(timing.LeaseDuration()/timing.HeartbeatInterval()) + 2
		assert.Equal(t, len(changed(heartbeatsPastLease)), 3)
		sequence, configurations["a1"], configurations["a2"] = 8, 8, 8
		assert.Equal(t, len(changed(heartbeatsPastLease-3)), 0, "within a lease no node is behind")
		updates := changed(3)
		assert.Assert(t, len(updates) == 1 && updates[0].Name == "a3", "%+v", updates)
		assert.Assert(t, updates[0].ConfigurationStale && updates[0].Configuration == 0, "%+v", updates)
		assert.Equal(t, len(changed(heartbeatsPastLease)), 0)
		configurations["a3"] = 8
		updates = changed(2)
		assert.Assert(t, len(updates) == 1 && updates[0].Name == "a3" && !updates[0].ConfigurationStale, "%+v", updates)
		for range 5 {
			sequence++
			configurations = map[string]uint64{"a1": sequence, "a2": sequence, "a3": sequence}
			assert.Equal(t, len(changed(1)), 0)
		}
		assert.Equal(t, len(replica.All()), 3)
	})
}
