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

// pages are what the reads of a partition give, one after the other.
type pages chan *leader.ReadResponse

func (p pages) ReadAsReader(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	if q.Finished || q.From == ^uint64(0) {
		return &leader.ReadResponse{}, nil
	}
	select {
	case r := <-p:
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p pages) tell(es ...log.Entry) {
	p <- &leader.ReadResponse{Entries: es, To: es[len(es)-1].Offset}
	synctest.Wait()
}

func keyed(o uint64, what, key, body string) log.Entry {
	return log.Entry{Offset: o, Type: what, Topic: "s/a", Key: key, Body: []byte(body), BodyDropped: what == log.TypeMessage && body == ""}
}

// A stream's window is older than a mark: what it covers is never given, the rest is, and the withdrawal is told.
func TestStreamGivesNothingThatWasWithdrawnMeanwhile(t *testing.T) {
	for name, c := range map[string]struct {
		held, then []log.Entry
		want       []string
	}{
		"withdrawn while it waits in the window": {
			[]log.Entry{keyed(1, log.TypeMessage, "k", `1`), keyed(2, log.TypeMessage, "l", `2`), keyed(3, log.TypeMessage, "", `3`)},
			[]log.Entry{keyed(4, log.TypeWithdrawal, "k", ""), keyed(5, log.TypeMessage, "k", `5`)},
			[]string{"2 l", "3 ", "-k", "5 k"},
		},
		"left out by the owner": {
			[]log.Entry{keyed(1, log.TypeMessage, "k", ""), keyed(2, log.TypeMessage, "l", `2`)},
			[]log.Entry{keyed(3, log.TypeMessage, "l", `3`)},
			[]string{"2 l", "3 l"},
		},
		"a window that is stale is filled anew": {
			[]log.Entry{keyed(1, log.TypeMessage, "k", `1`), keyed(2, log.TypeMessage, "l", `2`)},
			append(many(3, 1100), keyed(1103, log.TypeWithdrawal, "k", "")),
			[]string{"2 l", "-k"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				p := make(pages)
				wake := make(chan struct{}, 1)
				f, leave, err := stream.New(ctx, "a1", "b", p, clock.Real{}, settings.DefaultTiming).Follow(ctx, 0, wake)
				assert.NilError(t, err)
				defer leave()
				var got []string
				st := &subscriptionStream{s: &Service{Store: gossip.NewStore(nil)}, t: &Request{Emit: func(b []byte) error {
					var l Event
					assert.NilError(t, json.Unmarshal(b, &l))
					switch {
					case l.Withdrawn == "":
						got = append(got, string(l.Body)+" "+l.Key)
					case !strings.HasPrefix(l.Withdrawn, "other"):
						got = append(got, "-"+l.Withdrawn)
					}
					return nil
				}}, want: map[string]bool{"s/a": true}, urgent: map[string]bool{}, pos: cursor.Cursor{}, fence: f, seen: ^uint64(0)}
				st.lanes = []lane{{feed: f, got: make(chan pulled, 1)}}
				p.tell(c.held...)
				_, err = st.pull(ctx, &st.lanes[0])
				assert.NilError(t, err)
				p.tell(c.then...)
				for more := true; more; {
					more, err = st.round(ctx)
					assert.NilError(t, err)
				}
				assert.DeepEqual(t, got, c.want)
				stop()
				synctest.Wait()
			})
		})
	}
}

// many gives withdrawals of other keys, each with the number that no stream was given.
func many(from uint64, n int) []log.Entry {
	var es []log.Entry
	for i := range uint64(n) {
		es = append(es, keyed(from+i, log.TypeWithdrawal, "other"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676)), ""))
	}
	return es
}

func TestNoKeysUntilEveryBuildKnowsThem(t *testing.T) {
	v := membership.NewView()
	s := &Service{Router: &router.Router{View: v}}
	k := "k"
	v.Set([]membership.Info{{Name: "a1", SupportsKeys: true}, {Name: "a2"}})
	_, err := s.submit(t.Context(), &Request{Key: &k}, &leader.Message{})
	assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "%v", err)
	assert.ErrorContains(t, err, "a2")
}

// Who has not forgotten is named, with what was heard last, however the asking goes on.
func TestOpenWithdrawalsNameWhoWasNotHeard(t *testing.T) {
	late := apierror.New(apierror.Unreachable, "no answer")
	for name, c := range map[string]struct {
		answers []any
		say     string
		given   []string
	}{
		"all at once":              {[]any{&leader.PendingReaders{}}, "", []string{}},
		"one later, one given up":  {[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, &leader.PendingReaders{GivenUp: []string{"a2"}}}, "", []string{"a2"}},
		"never":                    {[]any{&leader.PendingReaders{Nodes: []string{"a1", "a2/streams"}}}, "a1, a2/streams", nil},
		"not to be asked":          {[]any{late}, "could not be asked: unreachable", nil},
		"not to be asked any more": {[]any{&leader.PendingReaders{Nodes: []string{"a1"}}, late}, "a1", nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Service{Clock: clock.Real{}, Timing: settings.DefaultTiming}
				n := 0
				begun := time.Now()
				given, err := s.awaited(t.Context(), leader.Decision{Partition: 3, Offset: 7}, func(context.Context) (*leader.PendingReaders, error) {
					a := c.answers[min(n, len(c.answers)-1)]
					n++
					if e, ok := a.(error); ok {
						return nil, e
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
