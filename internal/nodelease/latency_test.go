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

// Latencies that are all far from slow are reported as equal, however much they differ; a slow one
// is reported as it is.
func TestReportedLatency_FarFromSlowIsReportedAsEqual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		options.Name = "a1"
		store := gossip.NewStore(nil)
		server := newServer("c1", options.Timing(), store, confirmedNow)
		mux := http.NewServeMux()
		complete := 0
		latency := time.Millisecond
		Heartbeat.Handle(mux, func(ctx context.Context, request *HeartbeatRequest) (*HeartbeatResponse, error) {
			time.Sleep(latency)
			if request.InfoReference == nil {
				complete++
			}
			return server.Heartbeat(ctx, request)
		})
		manager := newManager(options, store, nil)
		manager.Net = &muxNetwork{mux}
		manager.Info = func() membership.Info {
			return membership.Info{Name: "a1", BootID: "1", Stage: membership.Serving,
				LatencyMicros: manager.ReportedLatency().Microseconds()}
		}
		fullInfos := func(takes time.Duration) int {
			t.Helper()
			complete, latency = 0, takes
			for range maxLatencies + 2 {
				time.Sleep(options.Timing().HeartbeatInterval())
				assert.NilError(t, manager.heartbeat(context.Background(), controlNode))
			}
			return complete
		}
		assert.Assert(t, fullInfos(time.Millisecond) > 0)
		reported := 0
		for range 4 {
			for _, takes := range []time.Duration{
				500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond,
				options.Timing().SlowThreshold() / settings.SlowFactor,
			} {
				reported += fullInfos(takes)
			}
		}
		assert.Equal(t, reported, 0)
		for _, takes := range []time.Duration{
			options.Timing().SlowThreshold() / 2, 2 * options.Timing().SlowThreshold(),
		} {
			assert.Assert(t, fullInfos(takes) > 0)
			infos := server.Table.Live()
			assert.Equal(t, len(infos), 1)
			assert.Equal(t, infos[0].LatencyMicros, takes.Microseconds())
		}
		assert.Assert(t, fullInfos(time.Millisecond) > 0)
		assert.Assert(t,
			time.Duration(server.Table.Live()[0].LatencyMicros)*time.Microsecond < options.Timing().SlowThreshold()/2)
	})
}
