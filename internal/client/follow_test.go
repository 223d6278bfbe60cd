package client

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

func TestStreamSkipsWhatItGaveAndWhatNobodyAskedFor(t *testing.T) {
	b := gossip.NewStore(nil)
	describe := func(seq uint64, ss ...configuration.Space) {
		b.Apply(gossip.Update{Configuration: &configuration.Config{Sequence: seq, Spaces: ss}})
	}
	describe(1, configuration.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b", "gone"}})
	var got []string
	st := &subscriptionStream{s: &Service{Store: b}, t: &Request{Emit: func(l []byte) error {
		var x Event
		assert.NilError(t, json.Unmarshal(l, &x))
		got = append(got, x.Topic+strings.Join(x.Unsubscribed, "-"))
		return nil
	}}, want: map[string]bool{"s/a": true, "s/gone": true}, urgent: map[string]bool{}, pos: cursor.Cursor{}, index: 1}
	give := func(o uint64, topic string) {
		stale, err := st.give(lane{}, log.Entry{Offset: o, Type: log.TypeMessage, Topic: topic, Body: []byte("1")})
		assert.NilError(t, err)
		assert.Assert(t, !stale)
	}
	give(1, "s/a")
	give(1, "s/a")
	give(2, "s/b")
	give(3, "s/gone")
	give(2, "s/a")
	describe(2, configuration.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b"}})
	assert.NilError(t, st.refresh())
	give(4, "s/gone")
	give(5, "s/a")
	assert.DeepEqual(t, got, []string{"s/a", "s/gone", "s/gone", "s/a"})
	describe(3, configuration.Space{Name: "s", Kind: "kept", Urgent: true, Topics: []string{"a"}})
	assert.ErrorContains(t, st.refresh(), "unknown_topic")
}

// owners answer for an urgent partition, which gets one entry when asked for more; a routine one's owner says where it ends and nothing else.
type owners struct{ urgent int }

func (o owners) ReadAsReader(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	first := q.From == ^uint64(0)
	if q.Partition == o.urgent && !first && q.From < 8 {
		return &leader.ReadResponse{To: 8, Epoch: 1, Entries: []log.Entry{{Offset: 8, Type: log.TypeMessage, Topic: "s/stop", Body: []byte("1")}}}, nil
	}
	if first {
		return &leader.ReadResponse{To: 7, Epoch: 1}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// A stream whose routine partition no longer stands in its node's window fetches that beside: its round does not wait for the owner, and urgent entries are given.
func TestARoundOfAStreamWaitsForNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		const routine, urgent = 0, 5
		fs := stream.New(ctx, "a1", "1", owners{urgent}, clock.Real{}, settings.DefaultTiming)
		b := gossip.NewStore(nil)
		var got []string
		st := &subscriptionStream{s: &Service{Store: b, Clock: clock.Real{}, Timing: settings.DefaultTiming}, t: &Request{Emit: func(l []byte) error {
			var x Event
			assert.NilError(t, json.Unmarshal(l, &x))
			got = append(got, x.Topic)
			return nil
		}}, want: map[string]bool{"s/stop": true, "s/kept": true}, urgent: map[string]bool{}, pos: cursor.Cursor{}, checked: make(chan error, 1), wake: make(chan struct{}, 1)}
		for _, o := range []opened{{lane: lane{p: routine}, at: 3}, {lane: lane{p: urgent, urgent: true}, at: 7}} {
			f, leave, err := fs.Follow(ctx, o.p, st.wake)
			assert.NilError(t, err)
			o.feed, o.leave, o.got = f, leave, make(chan pulled, 1)
			st.join(o)
		}
		st.fence = st.lanes[0].feed
		st.seen = 8
		begun := time.Now()
		for range 4 {
			_, err := st.round(ctx)
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, time.Since(begun), time.Duration(0), "rounds waited")
		assert.DeepEqual(t, got, []string{"s/stop"})
		stop()
		synctest.Wait()
	})
}
