package nodelease

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/control/voters"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// A node that heard of a newer description which has not arrived keeps to the plain lease; one that hears nobody has the stretch.
func TestStretchDoesNotCoverANewerDescription(t *testing.T) {
	for name, newer := range map[string]bool{"nobody confirms": false, "a newer one is confirmed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := settings.Default()
				o.Name, o.LeaseExtension = "a1", settings.Duration(10*time.Second)
				b := gossip.NewStore(nil)
				b.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 1, Fleet: "f"}})
				info := func() membership.Info { return membership.Info{Name: "a1"} }
				c := Confirmation{OK: true}
				h := &Server{Self: "a1", Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: b, Info: info, LatestConfirmation: func() Confirmation { return c }}
				k := &Manager{Settings: o, Clock: clock.Real{}, Store: b, View: membership.NewView(), Info: info, Local: h}
				assert.Assert(t, k.CheckLease() != nil, "a node starts without a licence")
				c.At = time.Now()
				assert.NilError(t, k.beat(context.Background(), info()))
				assert.NilError(t, k.CheckLease())
				time.Sleep(time.Second)
				c = Confirmation{}
				if newer {
					c = Confirmation{OK: true, Sequence: 1, At: time.Now()}
				}
				assert.Assert(t, k.beat(context.Background(), info()) != nil)
				time.Sleep(o.Timing().LeaseDuration())
				assert.Equal(t, k.CheckLease() == nil, !newer)
				assert.Assert(t, !k.LeaseConfirmed())
				c = Confirmation{}
				_ = k.beat(context.Background(), info())
				assert.Equal(t, k.CheckLease() == nil, !newer)
				time.Sleep(time.Duration(o.LeaseExtension))
				assert.Assert(t, k.CheckLease() != nil, "the stretch ends")
			})
		})
	}
}

// pair is a network of one peer.
type pair struct{ h *http.ServeMux }

func (p *pair) Do(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	p.h.ServeHTTP(w, r)
	return w.Result(), nil
}

// A node that has nothing new to say sends no saying, and says all again to a control node that lost it.
func TestABriefPulseIsUnderstoodOrAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := settings.Default()
		o.Name = "a1"
		b := gossip.NewStore(nil)
		var asked []*HeartbeatRequest
		var h *Server
		start := func() {
			h = &Server{Self: "c1", Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: b, LatestConfirmation: func() Confirmation { return Confirmation{OK: true, At: time.Now()} }}
		}
		start()
		m := http.NewServeMux()
		Heartbeat.Handle(m, func(ctx context.Context, q *HeartbeatRequest) (*HeartbeatResponse, error) {
			asked = append(asked, q)
			return h.Heartbeat(ctx, q)
		})
		me := membership.Info{Name: "a1", BootID: "1", Stage: membership.Serving, LatencyMicros: 500}
		k := &Manager{Settings: o, Clock: clock.Real{}, Net: &pair{m}, Store: b, View: membership.NewView(), Info: func() membership.Info { return me }}
		beat := func(whole ...bool) {
			t.Helper()
			asked = nil
			time.Sleep(o.Timing().HeartbeatInterval())
			assert.NilError(t, k.beat(context.Background(), membership.Info{Name: "c1", PeerAddr: "127.0.0.1:1"}))
			assert.Equal(t, len(asked), len(whole))
			for n, q := range asked {
				assert.Equal(t, q.InfoReference == nil, whole[n])
			}
			assert.Equal(t, len(h.Table.Live()), 1)
			i, ok := k.View.Get("a1")
			assert.Assert(t, ok && i.Stage == me.Stage)
		}
		beat(true)
		beat(false)
		me.LatencyMicros = 510
		beat(false)
		me.Stage = membership.Draining
		beat(true)
		beat(false)
		start()
		beat(false, true)
		beat(false)
	})
}

// Heartbeats that are all far from slow are told as alike, however much they differ; a slow one is told as it is.
func TestPulsesFarFromSlowAreNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := settings.Default()
		o.Name = "a1"
		b := gossip.NewStore(nil)
		h := &Server{Self: "c1", Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: b, LatestConfirmation: func() Confirmation { return Confirmation{OK: true, At: time.Now()} }}
		m := http.NewServeMux()
		whole := 0
		takes := time.Millisecond
		Heartbeat.Handle(m, func(ctx context.Context, q *HeartbeatRequest) (*HeartbeatResponse, error) {
			time.Sleep(takes)
			if q.InfoReference == nil {
				whole++
			}
			return h.Heartbeat(ctx, q)
		})
		k := &Manager{Settings: o, Clock: clock.Real{}, Net: &pair{m}, Store: b, View: membership.NewView()}
		k.Info = func() membership.Info {
			return membership.Info{Name: "a1", BootID: "1", Stage: membership.Serving, LatencyMicros: k.ReportedLatency().Microseconds()}
		}
		beats := func(d time.Duration) int {
			t.Helper()
			whole, takes = 0, d
			for range lagsMost + 2 {
				time.Sleep(o.Timing().HeartbeatInterval())
				assert.NilError(t, k.beat(context.Background(), membership.Info{Name: "c1", PeerAddr: "127.0.0.1:1"}))
			}
			return whole
		}
		assert.Assert(t, beats(time.Millisecond) > 0)
		told := 0
		for range 4 {
			for _, d := range []time.Duration{500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, o.Timing().SlowThreshold() / settings.SlowFactor} {
				told += beats(d)
			}
		}
		assert.Equal(t, told, 0)
		for _, d := range []time.Duration{o.Timing().SlowThreshold() / 2, 2 * o.Timing().SlowThreshold()} {
			assert.Assert(t, beats(d) > 0)
			is := h.Table.Live()
			assert.Equal(t, len(is), 1)
			assert.Equal(t, is[0].LatencyMicros, d.Microseconds())
		}
		assert.Assert(t, beats(time.Millisecond) > 0)
		assert.Assert(t, time.Duration(h.Table.Live()[0].LatencyMicros)*time.Microsecond < o.Timing().SlowThreshold()/2)
	})
}

// Control nodes tell each other what changed, and every session that stands stays known by the other.
func TestControlNodesTellSessionsByDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := settings.Default()
		hosts := map[string]*Server{}
		var asked *membership.SessionsRequest
		start := func(name, other string) {
			h := &Server{Self: name, Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: gossip.NewStore(nil), LatestConfirmation: func() Confirmation { return Confirmation{} }, Info: func() membership.Info { return membership.Info{Name: name} }}
			h.Net = &reach{func(r *http.Request) (*http.Response, error) {
				m := http.NewServeMux()
				hosts[other].Serve(m)
				return (&pair{m}).Do(r)
			}}
			hosts[name] = h
		}
		start("c1", "c2")
		start("c2", "c1")
		heartbeat := func(name, stage string) {
			_, err := hosts["c1"].Heartbeat(context.Background(), &HeartbeatRequest{Info: membership.Info{Name: name, Stage: stage}, KnownVersion: &membership.Version{}})
			assert.NilError(t, err)
		}
		round := func() {
			time.Sleep(o.Timing().HeartbeatInterval())
			asked = hosts["c1"].task("c2")
			hosts["c1"].exchange(context.Background(), "c2")
		}
		stages := func() map[string]string {
			s := map[string]string{}
			for _, i := range hosts["c2"].Table.Live() {
				s[i.Name] = i.Stage
			}
			return s
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
		assert.Assert(t, asked.Update != nil && asked.Update.Change.Empty())
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

type reach struct {
	f func(*http.Request) (*http.Response, error)
}

func (f *reach) Do(r *http.Request) (*http.Response, error) { return f.f(r) }

// A build that knows nothing of differences is told and tells whole lists.
func TestOlderBuildsAreSpokenToInWholeLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := settings.Default()
		o.Name = "a1"
		b := gossip.NewStore(nil)
		h := &Server{Self: "c1", Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: b, LatestConfirmation: func() Confirmation { return Confirmation{OK: true, At: time.Now()} }}
		m := http.NewServeMux()
		Heartbeat.Handle(m, func(ctx context.Context, q *HeartbeatRequest) (*HeartbeatResponse, error) {
			assert.Assert(t, q.InfoReference == nil)
			return h.Heartbeat(ctx, &HeartbeatRequest{Info: q.Info, Leaving: q.Leaving})
		})
		var asked []*membership.SessionsRequest
		membership.Sessions.Handle(m, func(_ context.Context, q *membership.SessionsRequest) (*membership.SessionsResponse, error) {
			asked = append(asked, q)
			return &membership.SessionsResponse{Sessions: []membership.Session{{Info: membership.Info{Name: "b"}}}}, nil
		})
		k := &Manager{Settings: o, Clock: clock.Real{}, Net: &pair{m}, Store: b, View: membership.NewView(), Info: func() membership.Info { return membership.Info{Name: "a1", BootID: "1"} }}
		for range 4 {
			time.Sleep(o.Timing().HeartbeatInterval())
			assert.NilError(t, k.beat(context.Background(), membership.Info{Name: "c1", PeerAddr: "127.0.0.1:1"}))
			_, ok := k.View.Get("a1")
			assert.Assert(t, ok)
		}
		h.Net = &pair{m}
		for range 4 {
			time.Sleep(o.Timing().HeartbeatInterval())
			h.exchange(context.Background(), "c2")
		}
		assert.Equal(t, len(asked), 4)
		for _, q := range asked {
			assert.Assert(t, q.Update == nil && len(q.Sessions) == 1)
		}
		assert.Equal(t, len(h.Table.Live()), 2)
		n := http.NewServeMux()
		h.Serve(n)
		a, err := membership.Sessions.Call(context.Background(), &pair{n}, "c2", "c1", &membership.SessionsRequest{From: "c2"})
		assert.NilError(t, err)
		assert.Equal(t, len(a.Sessions), 1)
		assert.Assert(t, a.Update == nil)
	})
}

// A control node that began lately and has not confirmed yet is asked again soon, not left for another one.
func TestAYoungControlNodeIsAskedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := settings.Default()
		o.Name = "c1"
		b := gossip.NewStore(nil)
		b.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 1, Fleet: "f"}})
		info := func() membership.Info { return membership.Info{Name: "c1"} }
		ready := time.Now().Add(o.Timing().HeartbeatInterval() * 2)
		latest := func() Confirmation {
			return Confirmation{OK: time.Now().After(ready), At: time.Now()}
		}
		h := &Server{Self: "c1", Clock: clock.Real{}, Timing: o.Timing(), Table: membership.NewTable(clock.Real{}, o.Timing()), Store: b, Info: info, LatestConfirmation: latest}
		var lg bytes.Buffer
		k := &Manager{Settings: o, Clock: clock.Real{}, Store: b, View: membership.NewView(), Info: info, Local: h, Log: event.NewLogger(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &lg}))}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			k.Run(ctx)
		}()
		time.Sleep(o.Timing().HeartbeatInterval()*2 + o.Timing().HeartbeatInterval()/2)
		synctest.Wait()
		assert.NilError(t, k.CheckLease(), "licensed within half a pulse after the first confirmation")
		assert.Equal(t, k.ControlNode(), "c1")
		stop()
		<-done
		assert.Assert(t, !strings.Contains(lg.String(), event.SessionMoved.Text), "%s", lg.String())
	})
}
