package wire_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

type pollMessage struct {
	From string `json:"from"`
	Seen uint64 `json:"seen"`
	Body []byte `json:"body,omitempty"`
}

var poll = wire.NewProcedure[pollMessage, pollMessage]("Bench", "Poll", wire.ReadOnly, "echoes")

type jsonCodec struct{}

func (jsonCodec) Name() string                    { return "json" }
func (jsonCodec) Marshal(v any) ([]byte, error)   { return json.Marshal(v) }
func (jsonCodec) Unmarshal(b []byte, v any) error { return json.Unmarshal(b, v) }

// callOverHTTP returns a call as in wire versions up to 1: JSON over HTTP of the standard library.
func callOverHTTP(b *testing.B) func(*pollMessage) error {
	mux := http.NewServeMux()
	mux.Handle(poll.Path, connect.NewUnaryHandler(poll.Path,
		func(
			_ context.Context, r *connect.Request[pollMessage],
		) (*connect.Response[wire.Envelope[pollMessage]], error) {
			return connect.NewResponse(&wire.Envelope[pollMessage]{Body: r.Msg}), nil
		}, connect.WithCodec(jsonCodec{}), connect.WithCompression("gzip", nil, nil)))
	listener := listen(b)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}
	b.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	client := connect.NewClient[pollMessage, wire.Envelope[pollMessage]](&http.Client{Transport: transport},
		"http://"+listener.Addr().String()+poll.Path, connect.WithCodec(jsonCodec{}),
		connect.WithAcceptCompression("gzip", nil, nil))
	return func(request *pollMessage) error {
		connectRequest := connect.NewRequest(request)
		connectRequest.Header().Set("Postjunction-Wire", "1")
		connectRequest.Header().Set("Postjunction-From", "store-1")
		ctx, stop := context.WithTimeout(context.Background(), settings.DefaultTiming.CallTimeout())
		defer stop()
		_, err := client.CallUnary(ctx, connectRequest)
		return err
	}
}

// callOverMux returns a call over the multiplexed connection.
func callOverMux(b *testing.B) func(*pollMessage) error {
	mux := http.NewServeMux()
	poll.Handle(mux, func(_ context.Context, request *pollMessage) (*pollMessage, error) { return request, nil })
	listener := listen(b)
	server := wire.NewServer(mux, settings.DefaultTiming)
	go func() { _ = server.Serve(listener) }()
	network := wire.NewNetwork(settings.DefaultTiming)
	b.Cleanup(func() {
		network.Close()
		_ = server.Close()
	})
	return func(request *pollMessage) error {
		ctx, stop := context.WithTimeout(context.Background(), settings.DefaultTiming.CallTimeout())
		defer stop()
		_, err := poll.Call(ctx, network, "store-1", listener.Addr().String(), request)
		return err
	}
}

func listen(b *testing.B) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

// resourceUse returns the counters of /proc/self/io, such as the bytes written and the numbers of
// reads and writes, and the processor time of this process in nanoseconds as "cpu".
func resourceUse(b *testing.B) (use map[string]float64) {
	use = map[string]float64{}
	data, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip(err)
	}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		use[key], _ = strconv.ParseFloat(value, 64)
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	use["cpu"] = float64(usage.Utime.Nano() + usage.Stime.Nano())
	return use
}

// Both sides of a call are in this process, so each figure is the sum of both nodes.
func BenchmarkCall(b *testing.B) {
	transports := []struct {
		name string
		open func(*testing.B) func(*pollMessage) error
	}{{"before", callOverHTTP}, {"after", callOverMux}}
	for _, size := range []int{0, 400, 200_000} {
		for _, callers := range []int{1, 16} {
			for _, transport := range transports {
				b.Run(strconv.Itoa(size)+"B/"+strconv.Itoa(callers)+"at once/"+transport.name, func(b *testing.B) {
					call := transport.open(b)
					request := &pollMessage{From: "store-1", Seen: 123456, Body: make([]byte, size)}
					if err := call(request); err != nil {
						b.Fatal(err)
					}
					b.ReportAllocs()
					before := resourceUse(b)
					b.ResetTimer()
					var wg sync.WaitGroup
					for caller := range callers {
						wg.Go(func() {
							for i := caller; i < b.N; i += callers {
								if err := call(request); err != nil {
									b.Error(err)
									return
								}
							}
						})
					}
					wg.Wait()
					b.StopTimer()
					after := resourceUse(b)
					for key, unit := range map[string]string{
						"wchar": "wirebytes/op", "syscw": "writes/op", "syscr": "reads/op",
						"cpu": "cpu-ns/op",
					} {
						b.ReportMetric((after[key]-before[key])/float64(b.N), unit)
					}
				})
			}
		}
	}
}
