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

// Latencies that are all far from slow are reported as one value, however much they differ. A slow
// one is reported exactly.
func TestReportedLatency_FarFromSlowIsReportedAsEqual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		options.Name = "a1"
		store := gossip.NewStore(nil)
		server := newServer("c1", options.Timing(), store, confirmedNow)
		mux := http.NewServeMux()
		completeCount := 0
		latency := time.Millisecond
		Heartbeat.Handle(mux, func(ctx context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error) {
			time.Sleep(latency)
			if request.InfoReference == nil {
				completeCount++
			}
			return server.Heartbeat(ctx, request)
		})
		manager := newManager(options, store, nil)
		manager.Net = &muxNetwork{mux}
		manager.Info = func() membership.Info {
			return membership.Info{Name: "a1", BootID: "1", Stage: membership.Serving,
				LatencyMicros: manager.ReportedLatency().Microseconds()}
		}
		sendHeartbeats := func(duration time.Duration) int {
			t.Helper()
			completeCount, latency = 0, duration
			for range maxLatencies + 2 {
				time.Sleep(options.Timing().HeartbeatInterval())
				assert.NilError(t, manager.heartbeat(context.Background(), controlNode))
			}
			return completeCount
		}
		assert.Assert(t, sendHeartbeats(time.Millisecond) > 0)
		changes := 0
		for range 4 {
			for _, duration := range []time.Duration{
				500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond,
				options.Timing().SlowThreshold() / settings.SlowFactor,
			} {
				changes += sendHeartbeats(duration)
			}
		}
		assert.Equal(t, changes, 0)
		for _, duration := range []time.Duration{
			options.Timing().SlowThreshold() / 2, 2 * options.Timing().SlowThreshold(),
		} {
			assert.Assert(t, sendHeartbeats(duration) > 0)
			infos := server.Table.Live()
			assert.Equal(t, len(infos), 1)
			assert.Equal(t, infos[0].LatencyMicros, duration.Microseconds())
		}
		assert.Assert(t, sendHeartbeats(time.Millisecond) > 0)
		assert.Assert(t,
			time.Duration(server.Table.Live()[0].LatencyMicros)*time.Microsecond < options.Timing().SlowThreshold()/2)
	})
}
