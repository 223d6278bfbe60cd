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

type echoMessage struct {
	Text string `json:"say"`
}

var echo = wire.NewProcedure[echoMessage, echoMessage]("Proof", "Note", wire.ReadOnly, "echoes")

// startRelay starts a server behind a relay and returns a function that calls it as the machine
// "a".
func startRelay(t *testing.T, roundTrip time.Duration, onCall func(string)) (*Relay, func(string) error) {
	t.Helper()
	timing := settings.DefaultTiming
	handler := http.NewServeMux()
	echo.Handle(handler, func(_ context.Context, request *echoMessage) (*echoMessage, error) {
		onCall(request.Text)
		return request, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server, network, relay := wire.NewServer(handler, timing), wire.NewNetwork(timing), newRelay(roundTrip)
	go func() { _ = server.Serve(listener) }()
	address, err := relay.serve("b", "z2", listener.Addr().String())
	assert.NilError(t, err)
	relay.mu.Lock()
	relay.zones["a"] = "z1"
	relay.mu.Unlock()
	t.Cleanup(func() {
		network.Close()
		relay.close()
		_ = server.Close()
	})
	return relay, func(text string) error {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		response, err := echo.Call(ctx, network, "a", address, &echoMessage{text})
		if err == nil && response.Text != text {
			return apierror.New(apierror.Internal, "%q for %q", response.Text, text)
		}
		return err
	}
}

func TestRelayKeepsZonesApart(t *testing.T) {
	const roundTrip = 20 * time.Millisecond
	_, call := startRelay(t, roundTrip, func(string) {})
	for range 3 {
		begun := time.Now()
		assert.NilError(t, call("x"))
		assert.Assert(t, time.Since(begun) >= roundTrip)
	}
}

func TestRelayHoldsChunksWhileALinkIsCut(t *testing.T) {
	for name, cut := range map[string][2]string{"there": {"a", "b"}, "back": {"b", "a"}, "all to": {wildcard, "b"},
		"all from": {"a", wildcard}} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan bool, 1)
			relay, call := startRelay(t, 0, func(text string) { arrived <- text == "held" })
			assert.NilError(t, call("before"))
			<-arrived
			heal := relay.Cut(cut[0], cut[1])
			result := make(chan error, 1)
			go func() { result <- call("held") }()
			for cut := uint64(0); cut == 0; {
				_, cut, _ = relay.Counts()
				<-time.After(time.Millisecond)
			}
			select {
			case err := <-result:
				t.Fatalf("answered through a cut: %v", err)
			default:
			}
			assert.Equal(t, len(arrived), map[bool]int{true: 1}[name == "back"])
			heal()
			assert.NilError(t, <-result)
			assert.Assert(t, <-arrived)
		})
	}
}

func TestRelayResetsConnections(t *testing.T) {
	entered, proceed := make(chan bool), make(chan bool)
	relay, call := startRelay(t, 0, func(text string) {
		if text == "held" {
			entered <- true
			<-proceed
		}
	})
	for range 3 {
		result := make(chan error, 1)
		go func() { result <- call("held") }()
		<-entered
		assert.Equal(t, relay.Reset(1), 1)
		err := <-result
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		proceed <- true
		assert.NilError(t, call("after"))
	}
}

func TestRelayLosesNothingForGood(t *testing.T) {
	relay, call := startRelay(t, 0, func(string) {})
	defer relay.Lose(0.2)()
	for _, lost := uint64(0), uint64(0); lost == 0; _, _, lost = relay.Counts() {
		assert.NilError(t, call("x"))
	}
}
