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

type asked struct {
	From string `json:"from"`
	Seen uint64 `json:"seen"`
	Body []byte `json:"body,omitempty"`
}

var poll = wire.NewProcedure[asked, asked]("Bench", "Poll", wire.ReadOnly, "echoes")

type plainCodec struct{}

func (plainCodec) Name() string                    { return "json" }
func (plainCodec) Marshal(v any) ([]byte, error)   { return json.Marshal(v) }
func (plainCodec) Unmarshal(b []byte, v any) error { return json.Unmarshal(b, v) }

// before is the way that calls went until wire sequence 1: JSON over the HTTP of the standard library.
func before(b *testing.B) func(*asked) error {
	m := http.NewServeMux()
	m.Handle(poll.Path, connect.NewUnaryHandler(poll.Path,
		func(_ context.Context, r *connect.Request[asked]) (*connect.Response[wire.Envelope[asked]], error) {
			return connect.NewResponse(&wire.Envelope[asked]{Body: r.Msg}), nil
		}, connect.WithCodec(plainCodec{}), connect.WithCompression("gzip", nil, nil)))
	l := hear(b)
	s := &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	t := &http.Transport{MaxIdleConnsPerHost: 128, DisableCompression: true}
	b.Cleanup(func() {
		t.CloseIdleConnections()
		_ = s.Close()
	})
	c := connect.NewClient[asked, wire.Envelope[asked]](&http.Client{Transport: t},
		"http://"+l.Addr().String()+poll.Path, connect.WithCodec(plainCodec{}),
		connect.WithAcceptCompression("gzip", nil, nil))
	return func(q *asked) error {
		r := connect.NewRequest(q)
		r.Header().Set("Postjunction-Wire", "1")
		r.Header().Set("Postjunction-From", "store-1")
		ctx, stop := context.WithTimeout(context.Background(), settings.DefaultTiming.CallTimeout())
		defer stop()
		_, err := c.CallUnary(ctx, r)
		return err
	}
}

func after(b *testing.B) func(*asked) error {
	m := http.NewServeMux()
	poll.Handle(m, func(_ context.Context, q *asked) (*asked, error) { return q, nil })
	l := hear(b)
	s := wire.NewServer(m, settings.DefaultTiming)
	go func() { _ = s.Serve(l) }()
	n := wire.NewNetwork(settings.DefaultTiming)
	b.Cleanup(func() {
		n.Close()
		_ = s.Close()
	})
	return func(q *asked) error {
		ctx, stop := context.WithTimeout(context.Background(), settings.DefaultTiming.CallTimeout())
		defer stop()
		_, err := poll.Call(ctx, n, "store-1", l.Addr().String(), q)
		return err
	}
}

func hear(b *testing.B) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return l
}

// used tells what the process has written and how often it read and wrote, and its processor time.
func used(b *testing.B) (m map[string]float64) {
	m = map[string]float64{}
	d, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Skip(err)
	}
	for l := range strings.Lines(string(d)) {
		k, v, _ := strings.Cut(strings.TrimSpace(l), ": ")
		m[k], _ = strconv.ParseFloat(v, 64)
	}
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	m["cpu"] = float64(u.Utime.Nano() + u.Stime.Nano())
	return m
}

// Both sides of a call are in this process, so each figure is that of the asking and the answering node together.
func BenchmarkCall(b *testing.B) {
	ways := []struct {
		name string
		open func(*testing.B) func(*asked) error
	}{{"before", before}, {"after", after}}
	for _, size := range []int{0, 400, 200_000} {
		for _, many := range []int{1, 16} {
			for _, w := range ways {
				b.Run(strconv.Itoa(size)+"B/"+strconv.Itoa(many)+"at once/"+w.name, func(b *testing.B) {
					call := w.open(b)
					q := &asked{From: "store-1", Seen: 123456, Body: make([]byte, size)}
					if err := call(q); err != nil {
						b.Fatal(err)
					}
					b.ReportAllocs()
					was := used(b)
					b.ResetTimer()
					var wg sync.WaitGroup
					for k := range many {
						wg.Go(func() {
							for i := k; i < b.N; i += many {
								if err := call(q); err != nil {
									b.Error(err)
									return
								}
							}
						})
					}
					wg.Wait()
					b.StopTimer()
					is := used(b)
					for k, unit := range map[string]string{"wchar": "wirebytes/op", "syscw": "writes/op", "syscr": "reads/op",
						"cpu": "cpu-ns/op"} {
						b.ReportMetric((is[k]-was[k])/float64(b.N), unit)
					}
				})
			}
		}
	}
}
