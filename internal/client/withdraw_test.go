package client

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/settings"
)

// scriptedReads are what the reads of a partition return, one after the other.
type scriptedReads chan *leader.ReadResponse

func (reads scriptedReads) ReadAsReader(
	ctx context.Context, request *leader.ReadRequest,
) (*leader.ReadResponse, error) {
	if request.Finished || request.From == ^uint64(0) {
		return &leader.ReadResponse{}, nil
	}
	select {
	case response := <-reads:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (reads scriptedReads) send(entries ...log.Entry) {
	reads <- &leader.ReadResponse{Entries: entries, To: entries[len(entries)-1].Offset}
	synctest.Wait()
}

func keyedEntry(offset uint64, entryType, key, body string) log.Entry {
	return log.Entry{
		Offset:      offset,
		Type:        entryType,
		Topic:       "s/a",
		Key:         key,
		Body:        []byte(body),
		BodyDropped: entryType == log.TypeMessage && body == "",
	}
}

// If a stream's window is older than a tombstone, the messages that the tombstone covers are never
// delivered. All others are delivered, and so is the withdrawal.
func TestStream_SkipsWithdrawnEntries(t *testing.T) {
	for name, test := range map[string]struct {
		cached, later []log.Entry
		want          []string
	}{
		"withdrawn while it waits in the window": {
			[]log.Entry{
				keyedEntry(1, log.TypeMessage, "k", `1`), keyedEntry(2, log.TypeMessage, "l", `2`),
				keyedEntry(3, log.TypeMessage, "", `3`),
			},
			[]log.Entry{keyedEntry(4, log.TypeWithdrawal, "k", ""), keyedEntry(5, log.TypeMessage, "k", `5`)},
			[]string{"2 l", "3 ", "-k", "5 k"},
		},
		"left out by the leader": {
			[]log.Entry{keyedEntry(1, log.TypeMessage, "k", ""), keyedEntry(2, log.TypeMessage, "l", `2`)},
			[]log.Entry{keyedEntry(3, log.TypeMessage, "l", `3`)},
			[]string{"2 l", "3 l"},
		},
		"a stale window is filled again": {
			[]log.Entry{keyedEntry(1, log.TypeMessage, "k", `1`), keyedEntry(2, log.TypeMessage, "l", `2`)},
			append(withdrawals(3, 1100), keyedEntry(1103, log.TypeWithdrawal, "k", "")),
			[]string{"2 l", "-k"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				reads := make(scriptedReads)
				wake := make(chan struct{}, 1)
				feed, leave, err := stream.New(
					ctx, "a1", "b", reads, clock.Real{}, settings.DefaultTiming,
				).Follow(ctx, 0, wake)
				assert.NilError(t, err)
				defer leave()
				var emitted []string
				st := &subscriptionStream{
					service: &Service{Store: gossip.NewStore(nil)}, request: &Request{Emit: func(line []byte) error {
						var event Event
						assert.NilError(t, json.Unmarshal(line, &event))
						switch {
						case event.Withdrawn == "":
							emitted = append(emitted, string(event.Body)+" "+event.Key)
						case !strings.HasPrefix(event.Withdrawn, "other"):
							emitted = append(emitted, "-"+event.Withdrawn)
						}
						return nil
					}}, topics: map[string]bool{"s/a": true}, urgentTopics: map[string]bool{},
					positions: cursor.Cursor{}, attachFeed: feed, attachOffset: ^uint64(0)}
				st.readers = []reader{{feed: feed, fetched: make(chan fetchResult, 1)}}
				reads.send(test.cached...)
				_, err = st.nextEntries(ctx, &st.readers[0])
				assert.NilError(t, err)
				reads.send(test.later...)
				for hasMore := true; hasMore; {
					hasMore, err = st.deliverRound(ctx)
					assert.NilError(t, err)
				}
				assert.DeepEqual(t, emitted, test.want)
				stop()
				synctest.Wait()
			})
		})
	}
}

// withdrawals returns withdrawals of other keys at consecutive offsets.
func withdrawals(from uint64, count int) []log.Entry {
	var entries []log.Entry
	for i := range uint64(count) {
		entries = append(
			entries,
			keyedEntry(
				from+i, log.TypeWithdrawal,
				"other"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), "",
			),
		)
	}
	return entries
}

func TestSubmit_RejectsKeysUntilEveryBuildSupportsThem(t *testing.T) {
	view := membership.NewView()
	service := &Service{Router: &router.Router{View: view}}
	key := "k"
	view.Set([]membership.Info{{Name: "a1", SupportsKeys: true}, {Name: "a2"}})
	_, err := service.submit(t.Context(), &Request{Key: &key}, &leader.Message{})
	assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "%v", err)
	assert.ErrorContains(t, err, "a2")
}

// The error names the nodes that were pending by the last response, even if later calls fail.
func TestAwaitReaders_NamesPendingNodes(t *testing.T) {
	unreachable := apierror.New(apierror.Unreachable, "no answer")
	for name, test := range map[string]struct {
		answers []any
		message string
		givenUp []string
	}{
		"all at once": {[]any{&leader.PendingReaders{}}, "", []string{}},
		"one later, one given up": {
			[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, &leader.PendingReaders{GivenUp: []string{"a2"}}},
			"", []string{"a2"},
		},
		"never": {
			[]any{&leader.PendingReaders{Nodes: []string{"a1", "a2/streams"}}}, "a1, a2/streams", nil,
		},
		"query fails":        {[]any{unreachable}, "could not be queried: unreachable", nil},
		"later queries fail": {[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, unreachable}, "a1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := &Service{Clock: clock.Real{}, Timing: settings.DefaultTiming}
				calls := 0
				start := time.Now()
				givenUp, err := service.awaitReaders(t.Context(), leader.Decision{
					Partition: 3, Offset: 7,
				}, func(context.Context) (*leader.PendingReaders, error) {
					answer := test.answers[min(calls, len(test.answers)-1)]
					calls++
					if failure, ok := answer.(error); ok {
						return nil, failure
					}
					return answer.(*leader.PendingReaders), nil
				})
				assert.Assert(t, time.Since(start) <= service.Timing.CallTimeout())
				assert.DeepEqual(t, givenUp, test.givenUp)
				if test.message == "" {
					assert.NilError(t, err)
					return
				}
				assert.Assert(t, apierror.HasCode(err, apierror.WithdrawalOpen), "%v", err)
				assert.ErrorContains(t, err, "offset 7 of partition 3")
				assert.ErrorContains(t, err, test.message)
			})
		})
	}
}
