package wire_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	_ "postjunction/internal/node"
	"postjunction/internal/nodelease"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/wire"
)

// filler makes values: none leaves all at zero, bare makes containers and pointers without content, else all is filled.
type filler struct {
	n    uint64
	bare bool
}

func (f *filler) fill(v reflect.Value, depth int) {
	f.n++
	k := v.Kind()
	if v.Type() == reflect.TypeFor[time.Time]() {
		if !f.bare {
			v.Set(reflect.ValueOf(time.Date(2031, 4, 5, 6, 7, 8, 123456789, time.FixedZone("", 5400)).Add(time.Duration(f.n))))
		}
		return
	}
	switch {
	case k == reflect.Struct:
		for i := range v.NumField() {
			t := v.Type().Field(i)
			if t.IsExported() && t.Tag.Get("json") != "-" {
				f.fill(v.Field(i), depth)
			}
		}
	case k == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case k == reflect.Slice:
		n := 0
		if !f.bare && depth < 6 {
			n = 3
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			f.fill(v.Index(i), depth+1)
		}
	case k == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 3 {
			if f.bare {
				break
			}
			a, b := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(a, depth+1)
			f.fill(b, depth+1)
			v.SetMapIndex(a, b)
		}
	case k == reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case f.bare:
	case v.CanInt():
		v.SetInt(int64(f.n%100) - 7)
	case v.CanUint():
		v.SetUint(f.n % 200)
		if k == reflect.Uint64 {
			v.SetUint(math.MaxUint64 - f.n)
		}
	case v.CanFloat():
		v.SetFloat(1.25 * float64(f.n))
	case k == reflect.String:
		v.SetString(fmt.Sprintf("é%d", f.n))
	case k == reflect.Bool:
		v.SetBool(true)
	default:
		panic("no way to fill " + v.Type().String())
	}
}

func trip(t *testing.T, v reflect.Value) any {
	t.Helper()
	b, err := wire.Codec{}.Marshal(v.Interface())
	assert.NilError(t, err)
	c := reflect.New(v.Type().Elem())
	assert.NilError(t, wire.Codec{}.Unmarshal(b, c.Interface()))
	return c.Interface()
}

func plain(t *testing.T, v reflect.Value) any {
	t.Helper()
	b, err := json.Marshal(v.Interface())
	assert.NilError(t, err)
	c := reflect.New(v.Type().Elem())
	assert.NilError(t, json.Unmarshal(b, c.Interface()))
	return c.Interface()
}

func TestEveryTaskAndAnswerSurvives(t *testing.T) {
	ss := wire.Procedures()
	assert.Assert(t, len(ss) >= 25, "only %d procedures", len(ss))
	seen := map[string]bool{}
	for _, s := range ss {
		assert.Assert(t, !seen[s.Path], "%s twice", s.Path)
		seen[s.Path] = true
		assert.Assert(t, s.Idempotency == wire.ReadOnly || s.Idempotency == wire.Monotonic ||
			s.Idempotency == wire.Deduplicated, "%s does not say why it may be repeated", s.Path)
		assert.Assert(t, s.Reason != "", "%s does not say what its repetition rests on", s.Path)
		for _, x := range []reflect.Type{s.Request, s.Response} {
			t.Run(strings.TrimPrefix(s.Path, "/postjunction.")+" "+x.Name(), func(t *testing.T) {
				whole := reflect.New(x)
				(&filler{}).fill(whole.Elem(), 0)
				assert.DeepEqual(t, trip(t, whole), whole.Interface())
				bare := reflect.New(x)
				(&filler{bare: true}).fill(bare.Elem(), 0)
				assert.DeepEqual(t, trip(t, bare), plain(t, bare))
				none := reflect.New(x)
				assert.DeepEqual(t, trip(t, none), plain(t, none))
			})
		}
	}
}

func TestReplyKeepsTheProblem(t *testing.T) {
	n := uint64(0)
	p := &apierror.Error{Code: apierror.Overloaded, Message: "full \xff\xfe",
		Faults: []apierror.Fault{{Path: "a.b", Message: "c"}}, Current: &n, RetryAfter: time.Second,
		RetryAfterMS: 1000, Cause: apierror.New(apierror.Internal, "x")}
	sent := reflect.ValueOf(&wire.Envelope[gossip.ExchangeResponse]{Problem: p})
	got := trip(t, sent).(*wire.Envelope[gossip.ExchangeResponse])
	assert.Assert(t, got.Body == nil)
	want := *p
	want.Cause, want.RetryAfter = nil, 0
	assert.DeepEqual(t, got.Problem, &want)
}

func TestTasksOfNewerBuildsAreRead(t *testing.T) {
	b, err := wire.Codec{}.Marshal(map[string]any{"t": "topic", "later": map[string]any{"x": []int{1}}})
	assert.NilError(t, err)
	var q struct {
		Topic string `json:"t"`
	}
	assert.NilError(t, wire.Codec{}.Unmarshal(b, &q))
	assert.Equal(t, q.Topic, "topic")
}

func samples() map[string]any {
	ms := make([]membership.Info, 13)
	for i := range ms {
		ms[i] = membership.Info{Name: fmt.Sprintf("store-%d", i), Zone: "zone-a", ListenAddr: "127.0.0.1:7000",
			PeerAddr: "127.0.0.1:8000", Disk: "own", Incarnation: "0123456789abcdef", BootID: "fedcba9876543210",
			Stage: "serving", Configuration: 17, VoterSet: 3, Partitions: 4, Loads: map[int]float64{1: 0.25, 7: 3.5},
			BuildVersion: "1.0", WireVersion: 2, LatencyMicros: 900, SupportsTwoHomes: true}
	}
	es := make([]log.Entry, 4)
	for i := range es {
		es[i] = log.Entry{Offset: uint64(1e6 + i), Epoch: 4, Type: "message", Topic: "armor/alerts",
			Client: "visitor-17", CallSeq: 99, Generation: 3, Configuration: 17, Digest: "0123456789abcdef",
			Chain: 0xfedcba9876543210, Body: make([]byte, 200)}
	}
	return map[string]any{
		"digest": &gossip.ExchangeRequest{Digest: gossip.Digest{VoterSet: 3, Configuration: 17,
			Records: []uint64{4, 5, 6, 7, 8, 9}}},
		"pulse": &nodelease.HeartbeatResponse{Members: ms, Confirmed: true, Sequence: 17, Age: time.Millisecond},
		"append": &replica.AppendRequest{After: log.Position{Offset: 1e6 - 1, Epoch: 4, Chain: 0xfedcba9876543210},
			Entries: es, Commit: 1e6 - 1},
	}
}

func BenchmarkCodec(b *testing.B) {
	type form struct {
		name string
		out  func(any) ([]byte, error)
		in   func([]byte, any) error
	}
	for name, v := range samples() {
		for _, f := range []form{{"json", json.Marshal, json.Unmarshal},
			{"cbor", wire.Codec{}.Marshal, wire.Codec{}.Unmarshal}} {
			b.Run(name+"/"+f.name, func(b *testing.B) {
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					d, err := f.out(v)
					n = len(d)
					if err != nil || f.in(d, reflect.New(reflect.TypeOf(v).Elem()).Interface()) != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(n), "bytes")
			})
		}
	}
}
