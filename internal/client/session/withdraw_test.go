package session

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/delivery/fanout"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// fakePartitionLog implements PartitionLog with functions.
type fakePartitionLog struct {
	keysErr   error
	decide    func(request *leader.Message) (*leader.Decision, error)
	pending   func(call int) (*leader.PendingReaders, error)
	mu        sync.Mutex
	calls     int
	submitted []*leader.Message
}

func (partitionLog *fakePartitionLog) SubmitAsync(
	_ context.Context, _ int, request *leader.Message, _ time.Time, done func(*leader.Decision, error),
) {
	partitionLog.mu.Lock()
	partitionLog.submitted = append(partitionLog.submitted, request)
	partitionLog.mu.Unlock()
	done(partitionLog.decide(request))
}

func (*fakePartitionLog) Subscribers(context.Context, int, string) (int, error) { return 0, nil }

func (partitionLog *fakePartitionLog) CheckKeysSupported() error { return partitionLog.keysErr }

func (partitionLog *fakePartitionLog) PendingReaders(
	ctx context.Context, _ int, _ uint64, wait time.Duration,
) (*leader.PendingReaders, error) {
	partitionLog.mu.Lock()
	partitionLog.calls++
	call := partitionLog.calls
	partitionLog.mu.Unlock()
	readers, err := partitionLog.pending(call)
	if err != nil || len(readers.Nodes) > 0 {
		_ = failAfter(ctx, wait)
	}
	return readers, err
}

func accept(request *leader.Message) (*leader.Decision, error) {
	return &leader.Decision{Offset: request.CallSeq, AlreadyWithdrawn: request.CallSeq == 8}, nil
}

func noPendingReaders(int) (*leader.PendingReaders, error) { return &leader.PendingReaders{}, nil }

// recordTimed records the session's responses, each with the milliseconds it took.
func (fixture *fixture) recordTimed(session *Session) func() []string {
	start := time.Now()
	var mu sync.Mutex
	var lines []string
	session.sink = func(response Response) {
		mu.Lock()
		defer mu.Unlock()
		line := fmt.Sprintf("%d: %s %s", time.Since(start).Milliseconds(), response.Type, response.Topic)
		if response.CallSeq > 0 {
			line += fmt.Sprintf(" %d", response.CallSeq)
		}
		if response.Key != "" {
			line += " " + response.Key
		}
		if response.AlreadyWithdrawn {
			line += " already"
		}
		if len(response.GivenUp) > 0 {
			line += " without " + strings.Join(response.GivenUp, ",")
		}
		if response.Err != nil {
			problem := apierror.From(response.Err)
			line += fmt.Sprintf(" %s %s (%s)", response.InReplyTo, problem.Code, problem.Message)
		}
		lines = append(lines, line)
	}
	return func() []string {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return lines
	}
}

func TestWithdrawalsAreAnswered(t *testing.T) {
	request := Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7}
	cases := map[string]struct {
		partitionLog *fakePartitionLog
		request      Request
		want         []string
	}{
		"no reader": {
			&fakePartitionLog{decide: accept, pending: noPendingReaders}, request, []string{"0: forgotten kept/a 7 k"},
		},
		"again": {
			&fakePartitionLog{decide: accept, pending: noPendingReaders},
			Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 8},
			[]string{"0: forgotten kept/a 8 k already"},
		},
		"later": {&fakePartitionLog{decide: accept, pending: func(call int) (*leader.PendingReaders, error) {
			if call == 1 {
				return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
			}
			return &leader.PendingReaders{GivenUp: []string{"a3"}}, nil
		}}, request, []string{"1025: forgotten kept/a 7 k without a3"}},
		"never": {
			&fakePartitionLog{decide: accept, pending: func(int) (*leader.PendingReaders, error) {
				return &leader.PendingReaders{Nodes: []string{"a2", "a4"}, GivenUp: []string{"a3"}}, nil
			}}, request,
			[]string{"1200: turned kept/a 7 k without a3 withdraw withdrawal_open " +
				"(the messages under k were withdrawn; a2, a4 did not confirm having read past it)"},
		},
		"no answer": {
			&fakePartitionLog{decide: accept, pending: func(int) (*leader.PendingReaders, error) {
				return nil, apierror.New(apierror.NoPartitionLeader, "no leader")
			}}, request,
			[]string{"1200: turned kept/a 7 k withdraw withdrawal_open " +
				"(the messages under k were withdrawn; the pending readers could not be queried)"},
		},
		"not accepted": {
			&fakePartitionLog{decide: func(*leader.Message) (*leader.Decision, error) {
				return nil, apierror.New(apierror.KeyUnknown, "nothing there")
			}}, request,
			[]string{"0: turned kept/a 7 withdraw key_unknown (nothing there)"},
		},
		"an older build": {
			&fakePartitionLog{keysErr: apierror.New(apierror.NotReady, "a2 knows no keys")}, request,
			[]string{"0: turned kept/a 7 withdraw not_ready (a2 knows no keys)"},
		},
		"a send to an older build": {
			&fakePartitionLog{
				keysErr: apierror.New(apierror.NotReady, "a2 knows no keys"),
			}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7, Key: "k"},
			[]string{"0: turned kept/a 7 send not_ready (a2 knows no keys)"},
		},
		"a send without a key to an older build": {
			&fakePartitionLog{
				keysErr: apierror.New(apierror.NotReady, "a2 knows no keys"), decide: accept,
			}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7}, []string{"0: taken kept/a 7"},
		},
		"a key with a space": {
			&fakePartitionLog{}, Request{Verb: Send, Topic: "kept/a", CallSeq: 7, Key: "k k"},
			[]string{"0: turned kept/a 7 send malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"a long key": {
			&fakePartitionLog{}, Request{Verb: Withdraw, Topic: "kept/a", CallSeq: 7, Key: strings.Repeat("k", 129)},
			[]string{"0: turned kept/a 7 withdraw malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"no key": {
			&fakePartitionLog{}, Request{Verb: Withdraw, Topic: "kept/a", CallSeq: 7},
			[]string{"0: turned kept/a 7 withdraw malformed (a key must be 1 to 128 printable bytes without spaces)"},
		},
		"no number": {
			&fakePartitionLog{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k"}, []string{
				"0: turned kept/a withdraw malformed (call_seq must be above 0)",
			},
		},
		"a sender without a number": {
			&fakePartitionLog{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7, WithdrawSender: "w"},
			[]string{
				"0: turned kept/a 7 withdraw malformed " +
					"(a sender (of) and its highest number (upto, above 0) go together)",
			},
		},
		"a number without a sender": {
			&fakePartitionLog{}, Request{Verb: Withdraw, Topic: "kept/a", Key: "k", CallSeq: 7, WithdrawUpTo: 3},
			[]string{
				"0: turned kept/a 7 withdraw malformed " +
					"(a sender (of) and its highest number (upto, above 0) go together)",
			},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
				fixture.PartitionLog = test.partitionLog
				responses := fixture.recordTimed(session)
				session.Do(test.request)
				time.Sleep(2 * settings.DefaultTiming.CallTimeout())
				assert.DeepEqual(t, responses(), test.want)
			})
		})
	}
}

// A submitted withdrawal has the key, the sender and its number. No later request waits for it.
func TestWithdrawalDelaysNoOtherRequest(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		partitionLog := &fakePartitionLog{decide: accept, pending: func(call int) (*leader.PendingReaders, error) {
			if call < 2 {
				return &leader.PendingReaders{Nodes: []string{"a2"}}, nil
			}
			return noPendingReaders(call)
		}}
		fixture.PartitionLog = partitionLog
		responses := fixture.recordTimed(session)
		session.Do(Request{Verb: Withdraw, Topic: "live/a", Key: "k", CallSeq: 7, WithdrawSender: "w", WithdrawUpTo: 3})
		session.Do(Request{Verb: Send, Topic: "live/a", Key: "k", CallSeq: 8, Body: []byte("x")})
		session.Do(Request{Verb: Heartbeat})
		assert.DeepEqual(t, responses(), []string{"0: taken live/a 8", "0: alive "})
		time.Sleep(settings.DefaultTiming.CallTimeout())
		assert.DeepEqual(t, responses()[2:], []string{"1025: forgotten live/a 7 k"})
		sequence := fixture.Store.Index().Sequence
		assert.DeepEqual(t, partitionLog.submitted, []*leader.Message{
			{
				Client:         "v",
				Topic:          "live/a",
				CallSeq:        7,
				Live:           true,
				Configuration:  sequence,
				Key:            "k",
				Withdraw:       true,
				WithdrawSender: "w",
				WithdrawUpTo:   3,
			},
			{
				Client: "v", Topic: "live/a", CallSeq: 8, Live: true, Configuration: sequence, Key: "k",
				Body: []byte("x"),
			},
		})
	})
}

// fakeBuffer records the calls that a Buffer gets.
type fakeBuffer struct {
	mu    sync.Mutex
	calls []string
}

func (b *fakeBuffer) add(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls = append(b.calls, fmt.Sprintf(format, args...))
}

func (b *fakeBuffer) takeCalls() []string {
	synctest.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	recorded := b.calls
	b.calls = nil
	return recorded
}

func (b *fakeBuffer) Withdraw(partition int, covered fanout.WithdrawnFunc) {
	b.add("withdraw %d %t %t", partition, covered("kept/a", "k", 20), covered("kept/a", "k", 21))
}

func (b *fakeBuffer) Drop(topic string) { b.add("drop %s", topic) }

func (b *fakeBuffer) Release(partition int, closeConnection bool) bool {
	b.add("release %d cut=%t", partition, closeConnection)
	return true
}

// Subscribers are informed of a withdrawal, and so are all buffers, also of sessions that
// unsubscribed or ended.
func TestWithdrawalReachesAllBuffers(t *testing.T) {
	withSession(t, func(t *testing.T, fixture *fixture, session *Session) {
		fixture.leaders.onFollow = answerAt(20, nil)
		responses := fixture.recordTimed(session)
		session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		unsubscribed, ended := &fakeBuffer{}, &fakeBuffer{}
		first, second := fixture.NewSession(func(Response) {}), fixture.NewSession(func(Response) {})
		first.AttachBuffer(unsubscribed)
		release := second.AttachBuffer(ended)
		for _, session := range []*Session{first, second} {
			session.Do(Request{Verb: Attach, Client: "w"})
			session.Do(Request{Verb: Subscribe, Topic: "kept/a"})
		}
		time.Sleep(100 * time.Millisecond)
		first.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		first.Do(Request{Verb: Unsubscribe, Topic: "kept/b"})
		second.End()
		assert.DeepEqual(t, unsubscribed.takeCalls(), []string{"drop kept/a"})
		assert.DeepEqual(t, ended.takeCalls(), []string{"drop kept/a"})
		offset := uint64(20)
		fixture.leaders.mu.Lock()
		fixture.leaders.onPoll = func(*leader.PollRequest) *leader.PollResponse {
			if offset++; offset > 22 {
				return nil
			}
			return &leader.PollResponse{
				Epoch: 1,
				To:    offset,
				Entries: []log.Entry{
					{Type: log.TypeWithdrawal, Topic: "kept/a", Key: "k", Client: "c", CallSeq: offset, Offset: offset},
				},
			}
		}
		fixture.leaders.mu.Unlock()
		time.Sleep(settings.DefaultTiming.Spread)
		assert.DeepEqual(t, unsubscribed.takeCalls(), []string{"withdraw 0 true false", "withdraw 0 true true"})
		assert.DeepEqual(t, ended.takeCalls(), []string{"withdraw 0 true false", "withdraw 0 true true"})
		release()
		session.Do(Request{Verb: Unsubscribe, Topic: "kept/a"})
		time.Sleep(2 * settings.DefaultTiming.Spread)
		assert.DeepEqual(t, unsubscribed.takeCalls(), []string{"release 0 cut=false"})
		assert.Equal(t, len(ended.takeCalls()), 0)
		lines := responses()
		for i, line := range lines {
			_, lines[i], _ = strings.Cut(line, ": ")
		}
		assert.DeepEqual(
			t, lines,
			[]string{"joined kept/a", "withdrawn kept/a 21 k", "withdrawn kept/a 22 k", "left kept/a"},
		)
	})
}
