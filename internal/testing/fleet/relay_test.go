package fleet

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

type note struct {
	Say string `json:"say"`
}

var noted = wire.NewProcedure[note, note]("Proof", "Note", wire.ReadOnly, "echoes")

// between stands a server behind a relay and gives a way to call it as the machine "a" does.
func between(t *testing.T, apart time.Duration, f func(string)) (*Relay, func(string) error) {
	t.Helper()
	b := settings.DefaultTiming
	m := http.NewServeMux()
	noted.Handle(m, func(_ context.Context, q *note) (*note, error) {
		f(q.Say)
		return q, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, n, r := wire.NewServer(m, b), wire.NewNetwork(b), newRelay(apart)
	go func() { _ = s.Serve(l) }()
	addr, err := r.serve("b", "z2", l.Addr().String())
	assert.NilError(t, err)
	r.mu.Lock()
	r.zones["a"] = "z1"
	r.mu.Unlock()
	t.Cleanup(func() {
		n.Close()
		r.close()
		_ = s.Close()
	})
	return r, func(say string) error {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		a, err := noted.Call(ctx, n, "a", addr, &note{say})
		if err == nil && a.Say != say {
			return apierror.New(apierror.Internal, "%q for %q", a.Say, say)
		}
		return err
	}
}

func TestRelayKeepsZonesApart(t *testing.T) {
	const apart = 20 * time.Millisecond
	_, call := between(t, apart, func(string) {})
	for range 3 {
		begun := time.Now()
		assert.NilError(t, call("x"))
		assert.Assert(t, time.Since(begun) >= apart)
	}
}

func TestRelayHoldsWhatIsCutUntilItIsMended(t *testing.T) {
	for name, cut := range map[string][2]string{"there": {"a", "b"}, "back": {"b", "a"}, "all to": {all, "b"},
		"all from": {"a", all}} {
		t.Run(name, func(t *testing.T) {
			came := make(chan bool, 1)
			r, call := between(t, 0, func(s string) { came <- s == "held" })
			assert.NilError(t, call("before"))
			<-came
			mend := r.Cut(cut[0], cut[1])
			res := make(chan error, 1)
			go func() { res <- call("held") }()
			for n := uint64(0); n == 0; {
				_, n, _ = r.Counts()
				<-time.After(time.Millisecond)
			}
			select {
			case err := <-res:
				t.Fatalf("answered through a cut: %v", err)
			default:
			}
			assert.Equal(t, len(came), map[bool]int{true: 1}[name == "back"])
			mend()
			assert.NilError(t, <-res)
			assert.Assert(t, <-came)
		})
	}
}

func TestRelayResetsConnections(t *testing.T) {
	in, out := make(chan bool), make(chan bool)
	r, call := between(t, 0, func(s string) {
		if s == "held" {
			in <- true
			<-out
		}
	})
	for range 3 {
		res := make(chan error, 1)
		go func() { res <- call("held") }()
		<-in
		assert.Equal(t, r.Reset(1), 1)
		err := <-res
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		out <- true
		assert.NilError(t, call("after"))
	}
}

func TestRelayLosesNothingForGood(t *testing.T) {
	r, call := between(t, 0, func(string) {})
	defer r.Lose(0.2)()
	for _, late := uint64(0), uint64(0); late == 0; _, _, late = r.Counts() {
		assert.NilError(t, call("x"))
	}
}
