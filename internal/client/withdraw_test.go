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

func (p scriptedReads) ReadAsReader(ctx context.Context, request *leader.ReadRequest) (*leader.ReadResponse, error) {
	if request.Finished || request.From == ^uint64(0) {
		return &leader.ReadResponse{}, nil
	}
	select {
	case r := <-p:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p scriptedReads) send(entries ...log.Entry) {
	p <- &leader.ReadResponse{Entries: entries, To: entries[len(entries)-1].Offset}
	synctest.Wait()
}

func keyedEntry(opened uint64, what, key, body string) log.Entry {
	return log.Entry{
		Offset:      opened,
		Type:        what,
		Topic:       "s/a",
		Key:         key,
		Body:        []byte(body),
		BodyDropped: what == log.TypeMessage && body == "",
	}
}

// A stream's window is older than a tombstone: what it covers is never delivered, the rest is, and
// so is the withdrawal.
func TestStream_SkipsWithdrawnEntries(t *testing.T) {
	for name, c := range map[string]struct {
		held, then []log.Entry
		want       []string
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
				p := make(scriptedReads)
				wake := make(chan struct{}, 1)
				f, leave, err := stream.New(
					ctx, "a1", "b", p, clock.Real{}, settings.DefaultTiming,
				).Follow(ctx, 0, wake)
				assert.NilError(t, err)
				defer leave()
				var got []string
				st := &subscriptionStream{service: &Service{Store: gossip.NewStore(nil)}, request: &Request{Emit: func(b []byte) error {
					var l Event
					assert.NilError(t, json.Unmarshal(b, &l))
					switch {
					case l.Withdrawn == "":
						got = append(got, string(l.Body)+" "+l.Key)
					case !strings.HasPrefix(l.Withdrawn, "other"):
						got = append(got, "-"+l.Withdrawn)
					}
					return nil
				}}, topics: map[string]bool{"s/a": true}, urgentTopics: map[string]bool{},
					positions: cursor.Cursor{}, attachFeed: f, attachOffset: ^uint64(0)}
				st.readers = []reader{{feed: f, fetched: make(chan fetchResult, 1)}}
				p.send(c.held...)
				_, err = st.nextEntries(ctx, &st.readers[0])
				assert.NilError(t, err)
				p.send(c.then...)
				for more := true; more; {
					more, err = st.deliverRound(ctx)
					assert.NilError(t, err)
				}
				assert.DeepEqual(t, got, c.want)
				stop()
				synctest.Wait()
			})
		})
	}
}

// withdrawals returns withdrawals of other keys at consecutive offsets.
func withdrawals(from uint64, n int) []log.Entry {
	var entries []log.Entry
	for i := range uint64(n) {
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
	v := membership.NewView()
	s := &Service{Router: &router.Router{View: v}}
	identity := "k"
	v.Set([]membership.Info{{Name: "a1", SupportsKeys: true}, {Name: "a2"}})
	_, err := s.submit(t.Context(), &Request{Key: &identity}, &leader.Message{})
	assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "%v", err)
	assert.ErrorContains(t, err, "a2")
}

// The nodes that are pending are named as of the last response, however later calls end.
func TestAwaitReaders_NamesPendingNodes(t *testing.T) {
	late := apierror.New(apierror.Unreachable, "no answer")
	for name, c := range map[string]struct {
		answers []any
		say     string
		given   []string
	}{
		"all at once": {[]any{&leader.PendingReaders{}}, "", []string{}},
		"one later, one given up": {
			[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, &leader.PendingReaders{GivenUp: []string{"a2"}}},
			"", []string{"a2"},
		},
		"never": {
			[]any{&leader.PendingReaders{Nodes: []string{"a1", "a2/streams"}}}, "a1, a2/streams", nil,
		},
		"not to be asked":          {[]any{late}, "could not be asked: unreachable", nil},
		"not to be asked any more": {[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, late}, "a1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Service{Clock: clock.Real{}, Timing: settings.DefaultTiming}
				n := 0
				begun := time.Now()
				given, err := s.awaitReaders(t.Context(), leader.Decision{
					Partition: 3, Offset: 7,
				}, func(context.Context) (*leader.PendingReaders, error) {
					a := c.answers[min(n, len(c.answers)-1)]
					n++
					if entry, ok := a.(error); ok {
						return nil, entry
					}
					return a.(*leader.PendingReaders), nil
				})
				assert.Assert(t, time.Since(begun) <= s.Timing.CallTimeout())
				assert.DeepEqual(t, given, c.given)
				if c.say == "" {
					assert.NilError(t, err)
					return
				}
				assert.Assert(t, apierror.HasCode(err, apierror.WithdrawalOpen), "%v", err)
				assert.ErrorContains(t, err, "offset 7 of partition 3")
				assert.ErrorContains(t, err, c.say)
			})
		})
	}
}
