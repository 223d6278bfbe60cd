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

// forgetting is a fleet with a sender at c1 and a stream of kept/t0 at a1.
type streamScenario struct {
	*World
	t       *testing.T
	sender  string
	reader  string
	callSeq uint64

	mu     sync.Mutex
	shown  []string
	cursor string
}

func (s *streamScenario) do(name string, request *client.Request) (any, error) {
	result := make(chan any, 1)
	err := s.ask(name, s.Site.Timing.Recovery, func(ctx context.Context, running *node.Node) error {
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
	w, _ := answer.(client.Withdrawal)
	return w, err
}

// forgotten has a withdrawal asked about until there is a yes.
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

// listen opens a stream through a1 behind all that was shown so far; it goes on until it ends. A
// node that has just come back may have no lease yet, and says so: its visitor asks again.
func (s *streamScenario) openStream() {
	s.mu.Lock()
	from := s.cursor
	s.mu.Unlock()
	s.wg.Go(func() {
		for {
			err := s.Port("a1").Follow(s.ctx, s.reader, []string{"kept/t0"}, from, func(event client.Event) error {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.cursor = event.Cursor
				switch {
				case event.Withdrawn != "":
					s.shown = append(s.shown, "-"+event.Withdrawn)
				case event.Topic != "":
					s.shown = append(s.shown, event.Key+":"+strings.Trim(string(event.Body), `"`))
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

func (s *streamScenario) takeShown() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := slices.Clone(s.shown)
	s.shown = nil
	return events
}

func (s *streamScenario) partitionLeader() string {
	running := s.Machines["c1"].Node()
	return running.Store.Record(partition.Of("kept/t0", false, running.VoterSet().Layout)).Leader
}

func (s *streamScenario) expectPending(err error, router string) {
	s.t.Helper()
	assert.Assert(s.t, apierror.HasCode(err, apierror.WithdrawalOpen), "%v", err)
	assert.Assert(s.t, slices.ContainsFunc(apierror.From(err).Faults, func(fault apierror.Fault) bool { return fault.Path == router }), "%v names nobody", err)
}

var streamScenarios = map[string]func(s *streamScenario){
	"a node that is cut off": func(s *streamScenario) {
		s.Isolate("a1")
		s.send("k", "after the cut")
		start := time.Now()
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.Assert(s.t, time.Since(start) <= 2*s.Site.Timing.CallTimeout(), "held for %s", time.Since(start))
		_, err = s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.send("k", "anew")
		s.Heal()
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq-1, 10*time.Second).GivenUp), 0)
		s.openStream()
		assert.DeepEqual(s.t, s.takeShown(), []string{"k:first", "-k", "k:anew"})
	},
	"calls that wait for a node hold nobody up": func(s *streamScenario) {
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
		assert.Assert(s.t, time.Since(start) < 400*time.Millisecond, "held for %s", time.Since(start))
	},
	"a node that is frozen": func(s *streamScenario) {
		s.Freeze("a1")
		s.send("k", "while frozen")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.Thaw("a1")
		s.waitWithdrawn("k", s.callSeq, 10*time.Second)
		s.openStream()
		events := s.takeShown()
		assert.Assert(s.t, !slices.Contains(events, "k:while frozen") && slices.Contains(events, "-k"), "%v", events)
	},
	"a node that is killed and comes back without streams": func(s *streamScenario) {
		s.Kill("a1")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.NilError(s.t, s.Start("a1"))
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq, 15*time.Second).GivenUp), 0)
	},
	"a node that is stopped in good order": func(s *streamScenario) {
		s.Terminate("a1")
		s.callSeq++
		withdrawal, err := s.withdraw("k", s.callSeq)
		assert.NilError(s.t, err)
		assert.Equal(s.t, len(withdrawal.GivenUp), 0)
	},
	"a node that is gone for long and comes back": func(s *streamScenario) {
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
		s.takeShown()
		s.mu.Lock()
		s.cursor = ""
		s.mu.Unlock()
		s.openStream()
		s.send("k", "anew")
		time.Sleep(time.Second)
		assert.DeepEqual(s.t, s.takeShown(), []string{"k:anew"})
		s.callSeq++
		withdrawal, err := s.withdraw("k", s.callSeq)
		assert.NilError(s.t, err)
		assert.Equal(s.t, len(withdrawal.GivenUp), 0)
		time.Sleep(time.Second)
		assert.DeepEqual(s.t, s.takeShown(), []string{"-k"})
	},
	"an owner that is killed beside a node that is cut off": func(s *streamScenario) {
		s.Isolate("a1")
		s.send("k", "after the cut")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		s.Kill(s.partitionLeader())
		assert.NilError(s.t, s.WaitUntil(15*time.Second, "taken over", func() bool {
			_, err := s.withdraw("k", s.callSeq)
			return apierror.HasCode(err, apierror.WithdrawalOpen) && len(apierror.From(err).Faults) > 0
		}))
		s.Heal()
		s.waitWithdrawn("k", s.callSeq, 10*time.Second)
		s.openStream()
		assert.NilError(s.t, s.WaitUntil(10*time.Second, "told", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return slices.Contains(s.shown, "-k")
		}))
		assert.DeepEqual(s.t, s.takeShown(), []string{"k:first", "-k"})
	},
	"a node that hears nothing of the owner, which hears it": func(s *streamScenario) {
		s.Cut(s.partitionLeader(), "a1")
		s.send("k", "after the cut")
		s.callSeq++
		_, err := s.withdraw("k", s.callSeq)
		s.expectPending(err, "a1/streams")
		assert.Equal(s.t, len(s.waitWithdrawn("k", s.callSeq, 2*s.Site.Timing.Recovery).GivenUp), 0)
		s.send("k", "anew")
		s.Heal()
		assert.NilError(s.t, s.WaitUntil(10*time.Second, "told", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return slices.Contains(s.shown, "k:anew")
		}))
		assert.DeepEqual(s.t, s.takeShown(), []string{"k:first", "-k", "k:anew"})
	},
	"a line that its visitor does not take": func(s *streamScenario) {
		attachment := attach(s.t, s.World, "a1", "slow")
		cut, ended := make(chan struct{}), make(chan struct{})
		var emitted []string
		s.wg.Go(func() {
			defer close(ended)
			_, _ = s.Machines["a1"].Node().Clients.Do(s.ctx, &client.Request{Verb: client.VerbFollow, Token: attachment.Token, Topics: []string{"kept/t0"}, Emit: func(b []byte) error {
				if !strings.Contains(string(b), `"k"`) {
					return nil
				}
				<-cut
				emitted = append(emitted, string(b))
				return apierror.New(apierror.SlowReader, "cut off")
			}, Abort: func() { close(cut) }})
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

// A withdrawal's yes comes once no stream shows what is withdrawn, whatever happens to the node
// that carries the streams; until then the answer names it.
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

// Streams that come and go leave nobody to wait for, and what a node without streams holds is
// nothing.
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
