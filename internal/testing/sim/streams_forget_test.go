package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/node"
	"postjunction/internal/partition"
)

// streamScenario is a fleet with a sender on c1 and a stream of kept/t0 on a1. mu guards received
// and cursor.
type streamScenario struct {
	*World
	t       *testing.T
	sender  string
	reader  string
	callSeq uint64

	mu       sync.Mutex
	received []string
	cursor   string
}

func (s *streamScenario) do(name string, request *client.Request) (any, error) {
	result := make(chan any, 1)
	err := s.callNode(name, s.Site.Timing.Recovery, func(ctx context.Context, running *node.Node) error {
		answer, err := running.Clients.Do(ctx, request)
		result <- answer
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-result, nil
}

func (s *streamScenario) send(key, body string) uint64 {
	s.t.Helper()
	s.callSeq++
	_, err := s.do("c1", &client.Request{Verb: client.VerbSend, Token: s.sender, Topics: []string{"kept/t0"}, Key: &key, CallSeq: s.callSeq, Body: json.RawMessage(`"` + body + `"`)})
	assert.NilError(s.t, err)
	return s.callSeq
}

func (s *streamScenario) withdraw(key string, callSeq uint64) (client.Withdrawal, error) {
	answer, err := s.do("c1", &client.Request{Verb: client.VerbWithdraw, Token: s.sender, Topics: []string{"kept/t0"}, Key: &key, CallSeq: callSeq})
	withdrawal, _ := answer.(client.Withdrawal)
	return withdrawal, err
}

// waitWithdrawn repeats a withdrawal until it is acknowledged.
func (s *streamScenario) waitWithdrawn(key string, callSeq uint64, limit time.Duration) client.Withdrawal {
	s.t.Helper()
	var withdrawal client.Withdrawal
	var err error
	assert.NilError(s.t, s.WaitUntil(limit, "withdrawn", func() bool {
		withdrawal, err = s.withdraw(key, callSeq)
		return err == nil
	}), "%v", err)
	return withdrawal
}

// openStream opens a stream through a1 from the cursor of the last event, and reads it until it
// ends. A node that has just restarted may have no lease yet and rejects the request, so it is
// retried.
func (s *streamScenario) openStream() {
	s.mu.Lock()
	from := s.cursor
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			err := s.Transport("a1").Follow(s.ctx, s.reader, []string{"kept/t0"}, from, func(event client.Event) error {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.cursor = event.Cursor
				switch {
				case event.Withdrawn != "":
					s.received = append(s.received, "-"+event.Withdrawn)
				case event.Topic != "":
					s.received = append(s.received, event.Key+":"+strings.Trim(string(event.Body), `"`))
				}
				return nil
			})
			if !apierror.HasCode(err, apierror.NoLease) {
				return
			}
			time.Sleep(s.Site.Timing.MaxBackoff() / 4)
		}
	})
	time.Sleep(time.Second)
}

func (s *streamScenario) takeReceived() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := slices.Clone(s.received)
	s.received = nil
	return events
}

func (s *streamScenario) partitionLeader() string {
	running := s.Machines["c1"].Node()
	return running.Store.Record(partition.Of("kept/t0", false, running.VoterSet().Layout)).Leader
}

func (s *streamScenario) expectPending(err error, router string) {
	s.t.Helper()
	assert.Assert(s.t, apierror.HasCode(err, apierror.WithdrawalOpen), "%v", err)
	assert.Assert(s.t, slices.ContainsFunc(apierror.From(err).Faults, func(fault apierror.Fault) bool { return fault.Path == router }), "%v does not name the router", err)
}

var streamScenarios = map[string]func(s *streamScenario){
	"an isolated node": func(s *streamScenario) {
		s.Isolate("a1")
		s.send("k", "after the cut")
		start := time.Now()
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.Assert(s.t, time.Since(start) <= 2*s.Site.Timing.CallTimeout(), "answered after %s", time.Since(start))
		_, err = s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.send("k", "anew")
		s.Heal()
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq-1, 10*time.Second).GivenUp), 0)
		s.openStream()
		assert.DeepEqual(s.t, s.takeReceived(), []string{"k:first", "-k", "k:anew"})
	},
	"calls that wait for a node delay no others": func(s *streamScenario) {
		s.Isolate("a1")
		s.callSeq++
		callSeq := s.callSeq
		for range 2 {
			for range 50 {
				s.wg.Go(func() { _, _ = s.withdraw("k", callSeq) })
			}
			time.Sleep(400 * time.Millisecond)
		}
		start := time.Now()
		s.send("k", "anew")
		assert.Assert(s.t, time.Since(start) < 400*time.Millisecond, "answered after %s", time.Since(start))
	},
	"a frozen node": func(s *streamScenario) {
		s.Freeze("a1")
		s.send("k", "while frozen")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.Thaw("a1")
		s.waitWithdrawn("k", s.callSeq, 10*time.Second)
		s.openStream()
		events := s.takeReceived()
		assert.Assert(s.t, !slices.Contains(events, "k:while frozen") && slices.Contains(events, "-k"), "%v", events)
	},
	"a node that is killed and restarts without streams": func(s *streamScenario) {
		s.Kill("a1")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.NilError(s.t, s.Start("a1"))
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq, 15*time.Second).GivenUp), 0)
	},
	"a node that shuts down cleanly": func(s *streamScenario) {
		s.Terminate("a1")
		s.callSeq++
		withdrawal, err := s.withdraw("k", s.callSeq)
		assert.NilError(s.t, err)
		assert.Equal(s.t, len(withdrawal.GivenUp), 0)
	},
	"a node that is isolated for long and returns": func(s *streamScenario) {
		s.Isolate("a1")
		s.send("l", "after the cut")
		s.callSeq++
		callSeq := s.callSeq
		_, err := s.withdraw("k", callSeq)
		s.expectPending(err, "a1/streams")
		time.Sleep(s.Site.Timing.Keeping)
		_, err = s.withdraw("k", callSeq)
		s.expectPending(err, "a1/streams")
		assert.DeepEqual(s.t, s.waitWithdrawn("k", callSeq, 30*time.Second).GivenUp, []string{"a1/streams"})
		s.Heal()
		time.Sleep(5 * time.Second)
		s.takeReceived()
		s.mu.Lock()
		s.cursor = ""
		s.mu.Unlock()
		s.openStream()
		s.send("k", "anew")
		time.Sleep(time.Second)
		assert.DeepEqual(s.t, s.takeReceived(), []string{"k:anew"})
		s.callSeq++
		withdrawal, err := s.withdraw("k", s.callSeq)
		assert.NilError(s.t, err)
		assert.Equal(s.t, len(withdrawal.GivenUp), 0)
		time.Sleep(time.Second)
		assert.DeepEqual(s.t, s.takeReceived(), []string{"-k"})
	},
	"a killed leader and an isolated node": func(s *streamScenario) {
		s.Isolate("a1")
		s.send("k", "after the cut")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.Kill(s.partitionLeader())
		assert.NilError(s.t, s.WaitUntil(15*time.Second, "failed over", func() bool {
			_, err := s.withdraw("k", s.callSeq)
			return apierror.HasCode(err, apierror.WithdrawalOpen) && len(apierror.From(err).Faults) > 0
		}))
		s.Heal()
		s.waitWithdrawn("k", s.callSeq, 10*time.Second)
		s.openStream()
		assert.NilError(s.t, s.WaitUntil(10*time.Second, "the stream delivers it", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return slices.Contains(s.received, "-k")
		}))
		assert.DeepEqual(s.t, s.takeReceived(), []string{"k:first", "-k"})
	},
	"a node that receives nothing from the leader": func(s *streamScenario) {
		s.Cut(s.partitionLeader(), "a1")
		s.send("k", "after the cut")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq, 2*s.Site.Timing.Recovery).GivenUp), 0)
		s.send("k", "anew")
		s.Heal()
		assert.NilError(s.t, s.WaitUntil(10*time.Second, "the stream delivers it", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return slices.Contains(s.received, "k:anew")
		}))
		assert.DeepEqual(s.t, s.takeReceived(), []string{"k:first", "-k", "k:anew"})
	},
	"an event that the client does not read": func(s *streamScenario) {
		attachment := attach(s.t, s.World, "a1", "slow")
		aborted, ended := make(chan struct{}), make(chan struct{})
		var emitted []string
		s.wg.Go(func() {
			defer close(ended)
			_, _ = s.Machines["a1"].Node().Clients.Do(s.ctx, &client.Request{Verb: client.VerbFollow, Token: attachment.Token, Topics: []string{"kept/t0"}, Emit: func(b []byte) error {
				if !strings.Contains(string(b), `"k"`) {
					return nil
				}
				<-aborted
				emitted = append(emitted, string(b))
				return apierror.New(apierror.SlowReader, "cut off")
			}, Abort: func() { close(aborted) }})
		})
		time.Sleep(time.Second)
		s.send("k", "stuck")
		time.Sleep(time.Second)
		start := time.Now()
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		assert.NilError(s.t, err)
		assert.Assert(s.t, time.Since(start) < s.Site.Timing.CallTimeout())
		<-ended
		assert.Equal(s.t, len(emitted), 1)
	},
}

// A withdrawal is acknowledged once no stream delivers what is withdrawn, whatever happens to the
// node that serves the streams. Until then the answer names that node.
func TestStreamsForget(t *testing.T) {
	t.Parallel()
	for name, run := range streamScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runFleet(t, Armor, 410, func(t *testing.T, w *World) {
				applyConfiguration(t, w)
				s := &streamScenario{World: w, t: t, sender: attach(t, w, "c1", "sender").Token, reader: attach(t, w, "a1", "reader").Token}
				s.openStream()
				s.send("k", "first")
				time.Sleep(time.Second)
				run(s)
			})
		})
	}
}

// A withdrawal does not wait for streams that ended, nor for a node without streams, which buffers
// no messages.
func TestStreamsThatEndAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 411, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		s := &streamScenario{World: w, t: t, sender: attach(t, w, "c1", "sender").Token}
		for i, name := range []string{"a1", "c2", "s1", "a1"} {
			attachment := attach(t, w, name, fmt.Sprint("reader", i))
			calls := make(chan []uint64, 1)
			w.wg.Go(func() {
				received, _, _ := follow(w, name, attachment.Token, "", []string{"kept/t0"}, 2*time.Second)
				calls <- received
			})
			time.Sleep(time.Second)
			callSeq := s.send("k", "first")
			assert.DeepEqual(t, <-calls, []uint64{callSeq})
			time.Sleep(time.Second)
			s.Cut(name, "*")
			s.callSeq++
			_, err := s.withdraw("k", s.callSeq)
			assert.Assert(t, err == nil || name == s.partitionLeader(), "%s: %v", name, err)
			s.Heal()
			time.Sleep(5 * time.Second)
		}
	})
}
