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

func TestStream_SkipsDeliveredEntriesAndOtherTopics(t *testing.T) {
	store := gossip.NewStore(nil)
	configure := func(sequence uint64, spaces ...configuration.Space) {
		store.Apply(gossip.Update{Configuration: &configuration.Config{Sequence: sequence, Spaces: spaces}})
	}
	configure(1, configuration.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b", "gone"}})
	var emitted []string
	st := &subscriptionStream{service: &Service{Store: store}, request: &Request{Emit: func(line []byte) error {
		var event Event
		assert.NilError(t, json.Unmarshal(line, &event))
		emitted = append(emitted, event.Topic+strings.Join(event.Unsubscribed, "-"))
		return nil
	}}, topics: map[string]bool{"s/a": true, "s/gone": true}, urgentTopics: map[string]bool{},
		positions: cursor.Cursor{}, configuration: 1}
	deliver := func(offset uint64, topic string) {
		stale, err := st.deliver(
			reader{}, log.Entry{Offset: offset, Type: log.TypeMessage, Topic: topic, Body: []byte("1")},
		)
		assert.NilError(t, err)
		assert.Assert(t, !stale)
	}
	deliver(1, "s/a")
	deliver(1, "s/a")
	deliver(2, "s/b")
	deliver(3, "s/gone")
	deliver(2, "s/a")
	configure(2, configuration.Space{Name: "s", Kind: "kept", Topics: []string{"a", "b"}})
	assert.NilError(t, st.dropRemovedTopics())
	deliver(4, "s/gone")
	deliver(5, "s/a")
	assert.DeepEqual(t, emitted, []string{"s/a", "s/gone", "s/gone", "s/a"})
	configure(3, configuration.Space{Name: "s", Kind: "kept", Urgent: true, Topics: []string{"a"}})
	assert.ErrorContains(t, st.dropRemovedTopics(), "unknown_topic")
}

// fakeLeaders are the leaders of two partitions. The urgent one gets one entry when it is read; the
// routine one returns its end and then blocks.
type fakeLeaders struct{ urgent int }

func (leaders fakeLeaders) ReadAsReader(
	ctx context.Context, request *leader.ReadRequest,
) (*leader.ReadResponse, error) {
	readsEnd := request.From == ^uint64(0)
	if request.Partition == leaders.urgent && !readsEnd && request.From < 8 {
		return &leader.ReadResponse{
			To:      8,
			Epoch:   1,
			Entries: []log.Entry{{Offset: 8, Type: log.TypeMessage, Topic: "s/stop", Body: []byte("1")}},
		}, nil
	}
	if readsEnd {
		return &leader.ReadResponse{To: 7, Epoch: 1}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// A stream whose routine partition is no longer cached fetches it in another goroutine: its round
// does not wait for the leader, and urgent entries are delivered.
func TestDeliverRound_WaitsForNoLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		const routine, urgent = 0, 5
		feeds := stream.New(ctx, "a1", "1", fakeLeaders{urgent}, clock.Real{}, settings.DefaultTiming)
		store := gossip.NewStore(nil)
		var emitted []string
		st := &subscriptionStream{service: &Service{
			Store:  store,
			Clock:  clock.Real{},
			Timing: settings.DefaultTiming,
		}, request: &Request{Emit: func(line []byte) error {
			var event Event
			assert.NilError(t, json.Unmarshal(line, &event))
			emitted = append(emitted, event.Topic)
			return nil
		}}, topics: map[string]bool{"s/stop": true, "s/kept": true}, urgentTopics: map[string]bool{},
			positions: cursor.Cursor{}, attachChecks: make(chan error, 1), wake: make(chan struct{}, 1)}
		for _, opened := range []openResult{
			{reader: reader{partition: routine}, offset: 3},
			{reader: reader{partition: urgent, isUrgent: true}, offset: 7},
		} {
			feed, leave, err := feeds.Follow(ctx, opened.partition, st.wake)
			assert.NilError(t, err)
			opened.feed, opened.leave, opened.fetched = feed, leave, make(chan fetchResult, 1)
			st.addReader(opened)
		}
		st.attachFeed = st.readers[0].feed
		st.attachOffset = 8
		start := time.Now()
		for range 4 {
			_, err := st.deliverRound(ctx)
			assert.NilError(t, err)
			synctest.Wait()
		}
		assert.Equal(t, time.Since(start), time.Duration(0), "rounds waited")
		assert.DeepEqual(t, emitted, []string{"s/stop"})
		stop()
		synctest.Wait()
	})
}
