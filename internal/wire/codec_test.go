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

// filler fills values with different contents. count counts the filled values. With
// emptyContainers it makes containers and pointers without content, else it sets every field.
type filler struct {
	count           uint64
	emptyContainers bool
}

func (f *filler) fill(v reflect.Value, depth int) {
	f.count++
	kind := v.Kind()
	if v.Type() == reflect.TypeFor[time.Time]() {
		if !f.emptyContainers {
			v.Set(reflect.ValueOf(
				time.Date(2031, 4, 5, 6, 7, 8, 123456789, time.FixedZone("", 5400)).Add(time.Duration(f.count)),
			))
		}
		return
	}
	switch {
	case kind == reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.IsExported() && field.Tag.Get("json") != "-" {
				f.fill(v.Field(i), depth)
			}
		}
	case kind == reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem(), depth+1)
	case kind == reflect.Slice:
		length := 0
		if !f.emptyContainers && depth < 6 {
			length = 3
		}
		v.Set(reflect.MakeSlice(v.Type(), length, length))
		for i := range length {
			f.fill(v.Index(i), depth+1)
		}
	case kind == reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 3 {
			if f.emptyContainers {
				break
			}
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key, depth+1)
			f.fill(value, depth+1)
			v.SetMapIndex(key, value)
		}
	case kind == reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i), depth+1)
		}
	case f.emptyContainers:
	case v.CanInt():
		v.SetInt(int64(f.count%100) - 7)
	case v.CanUint():
		v.SetUint(f.count % 200)
		if kind == reflect.Uint64 {
			v.SetUint(math.MaxUint64 - f.count)
		}
	case v.CanFloat():
		v.SetFloat(1.25 * float64(f.count))
	case kind == reflect.String:
		v.SetString(fmt.Sprintf("é%d", f.count))
	case kind == reflect.Bool:
		v.SetBool(true)
	default:
		panic("no way to fill " + v.Type().String())
	}
}

func roundTripCBOR(t *testing.T, v reflect.Value) any {
	t.Helper()
	encoded, err := wire.Codec{}.Marshal(v.Interface())
	assert.NilError(t, err)
	decoded := reflect.New(v.Type().Elem())
	assert.NilError(t, wire.Codec{}.Unmarshal(encoded, decoded.Interface()))
	return decoded.Interface()
}

func roundTripJSON(t *testing.T, v reflect.Value) any {
	t.Helper()
	encoded, err := json.Marshal(v.Interface())
	assert.NilError(t, err)
	decoded := reflect.New(v.Type().Elem())
	assert.NilError(t, json.Unmarshal(encoded, decoded.Interface()))
	return decoded.Interface()
}

func TestEveryTaskAndAnswerSurvives(t *testing.T) {
	procedures := wire.Procedures()
	assert.Assert(t, len(procedures) >= 25, "only %d procedures", len(procedures))
	seen := map[string]bool{}
	for _, procedure := range procedures {
		assert.Assert(t, !seen[procedure.Path], "%s twice", procedure.Path)
		seen[procedure.Path] = true
		assert.Assert(t, procedure.Idempotency == wire.ReadOnly || procedure.Idempotency == wire.Monotonic ||
			procedure.Idempotency == wire.Deduplicated, "%s does not say why it may be retried", procedure.Path)
		assert.Assert(t, procedure.Reason != "", "%s does not say what makes its retry safe", procedure.Path)
		for _, typ := range []reflect.Type{procedure.Request, procedure.Response} {
			t.Run(strings.TrimPrefix(procedure.Path, "/postjunction.")+" "+typ.Name(), func(t *testing.T) {
				filled := reflect.New(typ)
				(&filler{}).fill(filled.Elem(), 0)
				assert.DeepEqual(t, roundTripCBOR(t, filled), filled.Interface())
				empty := reflect.New(typ)
				(&filler{emptyContainers: true}).fill(empty.Elem(), 0)
				assert.DeepEqual(t, roundTripCBOR(t, empty), roundTripJSON(t, empty))
				zero := reflect.New(typ)
				assert.DeepEqual(t, roundTripCBOR(t, zero), roundTripJSON(t, zero))
			})
		}
	}
}

func TestReplyKeepsTheProblem(t *testing.T) {
	current := uint64(0)
	problem := &apierror.Error{Code: apierror.Overloaded, Message: "full \xff\xfe",
		Faults: []apierror.Fault{{Path: "a.b", Message: "c"}}, Current: &current, RetryAfter: time.Second,
		RetryAfterMS: 1000, Cause: apierror.New(apierror.Internal, "x")}
	sent := reflect.ValueOf(&wire.Envelope[gossip.ExchangeResponse]{Problem: problem})
	decoded := roundTripCBOR(t, sent).(*wire.Envelope[gossip.ExchangeResponse])
	assert.Assert(t, decoded.Body == nil)
	want := *problem
	want.Cause, want.RetryAfter = nil, 0
	assert.DeepEqual(t, decoded.Problem, &want)
}

func TestTasksOfNewerBuildsAreRead(t *testing.T) {
	encoded, err := wire.Codec{}.Marshal(map[string]any{"t": "topic", "later": map[string]any{"x": []int{1}}})
	assert.NilError(t, err)
	var request struct {
		Topic string `json:"t"`
	}
	assert.NilError(t, wire.Codec{}.Unmarshal(encoded, &request))
	assert.Equal(t, request.Topic, "topic")
}

func samples() map[string]any {
	members := make([]membership.Info, 13)
	for i := range members {
		members[i] = membership.Info{Name: fmt.Sprintf("store-%d", i), Zone: "zone-a", ListenAddr: "127.0.0.1:7000",
			PeerAddr: "127.0.0.1:8000", Disk: "own", Incarnation: "0123456789abcdef", BootID: "fedcba9876543210",
			Stage: "serving", Configuration: 17, VoterSet: 3, Partitions: 4, Loads: map[int]float64{1: 0.25, 7: 3.5},
			BuildVersion: "1.0", WireVersion: 2, LatencyMicros: 900, SupportsTwoHomes: true}
	}
	entries := make([]log.Entry, 4)
	for i := range entries {
		entries[i] = log.Entry{Offset: uint64(1e6 + i), Epoch: 4, Type: "message", Topic: "armor/alerts",
			Client: "visitor-17", CallSeq: 99, Generation: 3, Configuration: 17, Digest: "0123456789abcdef",
			Chain: 0xfedcba9876543210, Body: make([]byte, 200)}
	}
	return map[string]any{
		"digest": &gossip.ExchangeRequest{Digest: gossip.Digest{VoterSet: 3, Configuration: 17,
			Records: []uint64{4, 5, 6, 7, 8, 9}}},
		"heartbeat": &nodelease.HeartbeatResponse{
			Members: members, Confirmed: true, Sequence: 17, Age: time.Millisecond,
		},
		"append": &replica.AppendRequest{After: log.Position{Offset: 1e6 - 1, Epoch: 4, Chain: 0xfedcba9876543210},
			Entries: entries, Commit: 1e6 - 1},
	}
}

func BenchmarkCodec(b *testing.B) {
	type codecUnderTest struct {
		name      string
		marshal   func(any) ([]byte, error)
		unmarshal func([]byte, any) error
	}
	for name, sample := range samples() {
		for _, codec := range []codecUnderTest{{"json", json.Marshal, json.Unmarshal},
			{"cbor", wire.Codec{}.Marshal, wire.Codec{}.Unmarshal}} {
			b.Run(name+"/"+codec.name, func(b *testing.B) {
				b.ReportAllocs()
				size := 0
				for b.Loop() {
					encoded, err := codec.marshal(sample)
					size = len(encoded)
					if err != nil ||
						codec.unmarshal(encoded, reflect.New(reflect.TypeOf(sample).Elem()).Interface()) != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}
