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
type forgetting struct {
	*World
	t      *testing.T
	sender string
	reader string
	call   uint64

	mu    sync.Mutex
	shown []string
	last  string
}

func (x *forgetting) do(n string, k *client.Request) (any, error) {
	c := make(chan any, 1)
	err := x.callNode(n, x.Site.Timing.Recovery, func(ctx context.Context, m *node.Node) error {
		a, err := m.Clients.Do(ctx, k)
		c <- a
		return err
	})
	if err != nil {
		return nil, err
	}
	return <-c, nil
}

func (x *forgetting) send(key, body string) uint64 {
	x.t.Helper()
	x.call++
	_, err := x.do("c1", &client.Request{Verb: client.VerbSend, Token: x.sender, Topics: []string{"kept/t0"}, Key: &key, CallSeq: x.call, Body: json.RawMessage(`"` + body + `"`)})
	assert.NilError(x.t, err)
	return x.call
}

func (x *forgetting) withdraw(key string, call uint64) (client.Withdrawal, error) {
	a, err := x.do("c1", &client.Request{Verb: client.VerbWithdraw, Token: x.sender, Topics: []string{"kept/t0"}, Key: &key, CallSeq: call})
	w, _ := a.(client.Withdrawal)
	return w, err
}

// forgotten has a withdrawal asked about until there is a yes.
func (x *forgetting) forgotten(key string, call uint64, limit time.Duration) client.Withdrawal {
	x.t.Helper()
	var a client.Withdrawal
	var err error
	assert.NilError(x.t, x.WaitUntil(limit, "withdrawn", func() bool {
		a, err = x.withdraw(key, call)
		return err == nil
	}), "%v", err)
	return a
}

// listen opens a stream through a1 behind all that was shown so far; it goes on until it ends. A
// node that has just come back may have no lease yet, and says so: its visitor asks again.
func (x *forgetting) listen() {
	x.mu.Lock()
	from := x.last
	x.mu.Unlock()
	x.wg.Go(func() {
		for {
			err := x.Transport("a1").Follow(x.ctx, x.reader, []string{"kept/t0"}, from, func(l client.Event) error {
				x.mu.Lock()
				defer x.mu.Unlock()
				x.last = l.Cursor
				switch {
				case l.Withdrawn != "":
					x.shown = append(x.shown, "-"+l.Withdrawn)
				case l.Topic != "":
					x.shown = append(x.shown, l.Key+":"+strings.Trim(string(l.Body), `"`))
				}
				return nil
			})
			if !apierror.HasCode(err, apierror.NoLease) {
				return
			}
			time.Sleep(x.Site.Timing.MaxBackoff() / 4)
		}
	})
	time.Sleep(time.Second)
}

func (x *forgetting) saw() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := slices.Clone(x.shown)
	x.shown = nil
	return s
}

func (x *forgetting) owner() string {
	n := x.Machines["c1"].Node()
	return n.Store.Record(partition.Of("kept/t0", false, n.VoterSet().Layout)).Leader
}

func (x *forgetting) open(err error, who string) {
	x.t.Helper()
	assert.Assert(x.t, apierror.HasCode(err, apierror.WithdrawalOpen), "%v", err)
	assert.Assert(x.t, slices.ContainsFunc(apierror.From(err).Faults, func(f apierror.Fault) bool { return f.Path == who }), "%v names nobody", err)
}

var forgets = map[string]func(x *forgetting){
	"a node that is cut off": func(x *forgetting) {
		x.Isolate("a1")
		x.send("k", "after the cut")
		begun := time.Now()
		x.call++
		_, err := x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		assert.Assert(x.t, time.Since(begun) <= 2*x.Site.Timing.CallTimeout(), "held for %s", time.Since(begun))
		_, err = x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		x.send("k", "anew")
		x.Heal()
		assert.Equal(x.t, len(x.forgotten("k", x.call-1, 10*time.Second).GivenUp), 0)
		x.listen()
		assert.DeepEqual(x.t, x.saw(), []string{"k:first", "-k", "k:anew"})
	},
	"calls that wait for a node hold nobody up": func(x *forgetting) {
		x.Isolate("a1")
		x.call++
		at := x.call
		for range 2 {
			for range 50 {
				x.wg.Go(func() { _, _ = x.withdraw("k", at) })
			}
			time.Sleep(400 * time.Millisecond)
		}
		begun := time.Now()
		x.send("k", "anew")
		assert.Assert(x.t, time.Since(begun) < 400*time.Millisecond, "held for %s", time.Since(begun))
	},
	"a node that is frozen": func(x *forgetting) {
		x.Freeze("a1")
		x.send("k", "while frozen")
		x.call++
		_, err := x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		x.Thaw("a1")
		x.forgotten("k", x.call, 10*time.Second)
		x.listen()
		s := x.saw()
		assert.Assert(x.t, !slices.Contains(s, "k:while frozen") && slices.Contains(s, "-k"), "%v", s)
	},
	"a node that is killed and comes back without streams": func(x *forgetting) {
		x.Kill("a1")
		x.call++
		_, err := x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		assert.NilError(x.t, x.Start("a1"))
		assert.Equal(x.t, len(x.forgotten("k", x.call, 15*time.Second).GivenUp), 0)
	},
	"a node that is stopped in good order": func(x *forgetting) {
		x.Terminate("a1")
		x.call++
		a, err := x.withdraw("k", x.call)
		assert.NilError(x.t, err)
		assert.Equal(x.t, len(a.GivenUp), 0)
	},
	"a node that is gone for long and comes back": func(x *forgetting) {
		x.Isolate("a1")
		x.send("l", "after the cut")
		x.call++
		at := x.call
		_, err := x.withdraw("k", at)
		x.open(err, "a1/streams")
		time.Sleep(x.Site.Timing.Keeping)
		_, err = x.withdraw("k", at)
		x.open(err, "a1/streams")
		assert.DeepEqual(x.t, x.forgotten("k", at, 30*time.Second).GivenUp, []string{"a1/streams"})
		x.Heal()
		time.Sleep(5 * time.Second)
		x.saw()
		x.mu.Lock()
		x.last = ""
		x.mu.Unlock()
		x.listen()
		x.send("k", "anew")
		time.Sleep(time.Second)
		assert.DeepEqual(x.t, x.saw(), []string{"k:anew"})
		x.call++
		a, err := x.withdraw("k", x.call)
		assert.NilError(x.t, err)
		assert.Equal(x.t, len(a.GivenUp), 0)
		time.Sleep(time.Second)
		assert.DeepEqual(x.t, x.saw(), []string{"-k"})
	},
	"an owner that is killed beside a node that is cut off": func(x *forgetting) {
		x.Isolate("a1")
		x.send("k", "after the cut")
		x.call++
		_, err := x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		x.Kill(x.owner())
		assert.NilError(x.t, x.WaitUntil(15*time.Second, "taken over", func() bool {
			_, err := x.withdraw("k", x.call)
			return apierror.HasCode(err, apierror.WithdrawalOpen) && len(apierror.From(err).Faults) > 0
		}))
		x.Heal()
		x.forgotten("k", x.call, 10*time.Second)
		x.listen()
		assert.NilError(x.t, x.WaitUntil(10*time.Second, "told", func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return slices.Contains(x.shown, "-k")
		}))
		assert.DeepEqual(x.t, x.saw(), []string{"k:first", "-k"})
	},
	"a node that hears nothing of the owner, which hears it": func(x *forgetting) {
		x.Cut(x.owner(), "a1")
		x.send("k", "after the cut")
		x.call++
		_, err := x.withdraw("k", x.call)
		x.open(err, "a1/streams")
		assert.Equal(x.t, len(x.forgotten("k", x.call, 2*x.Site.Timing.Recovery).GivenUp), 0)
		x.send("k", "anew")
		x.Heal()
		assert.NilError(x.t, x.WaitUntil(10*time.Second, "told", func() bool {
			x.mu.Lock()
			defer x.mu.Unlock()
			return slices.Contains(x.shown, "k:anew")
		}))
		assert.DeepEqual(x.t, x.saw(), []string{"k:first", "-k", "k:anew"})
	},
	"a line that its visitor does not take": func(x *forgetting) {
		a := attach(x.t, x.World, "a1", "slow")
		cut, ended := make(chan struct{}), make(chan struct{})
		var emitted []string
		x.wg.Go(func() {
			defer close(ended)
			_, _ = x.Machines["a1"].Node().Clients.Do(x.ctx, &client.Request{Verb: client.VerbFollow, Token: a.Token, Topics: []string{"kept/t0"}, Emit: func(b []byte) error {
				if !strings.Contains(string(b), `"k"`) {
					return nil
				}
				<-cut
				emitted = append(emitted, string(b))
				return apierror.New(apierror.SlowReader, "cut off")
			}, Abort: func() { close(cut) }})
		})
		time.Sleep(time.Second)
		x.send("k", "stuck")
		time.Sleep(time.Second)
		begun := time.Now()
		x.call++
		_, err := x.withdraw("k", x.call)
		assert.NilError(x.t, err)
		assert.Assert(x.t, time.Since(begun) < x.Site.Timing.CallTimeout())
		<-ended
		assert.Equal(x.t, len(emitted), 1)
	},
}

// A withdrawal's yes comes once no stream shows what is withdrawn, whatever happens to the node
// that carries the streams; until then the answer names it.
func TestStreamsForget(t *testing.T) {
	t.Parallel()
	for name, f := range forgets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stand(t, Armor, 410, func(t *testing.T, w *World) {
				described(t, w)
				x := &forgetting{World: w, t: t, sender: attach(t, w, "c1", "sender").Token, reader: attach(t, w, "a1", "reader").Token}
				x.listen()
				x.send("k", "first")
				time.Sleep(time.Second)
				f(x)
			})
		})
	}
}

// Streams that come and go leave nobody to wait for, and what a node without streams holds is
// nothing.
func TestStreamsThatEndAreNotWaitedFor(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 411, func(t *testing.T, w *World) {
		described(t, w)
		x := &forgetting{World: w, t: t, sender: attach(t, w, "c1", "sender").Token}
		for i, n := range []string{"a1", "c2", "s1", "a1"} {
			a := attach(t, w, n, fmt.Sprint("reader", i))
			calls := make(chan []uint64, 1)
			w.wg.Go(func() {
				cs, _, _ := follow(w, n, a.Token, "", []string{"kept/t0"}, 2*time.Second)
				calls <- cs
			})
			time.Sleep(time.Second)
			c := x.send("k", "first")
			assert.DeepEqual(t, <-calls, []uint64{c})
			time.Sleep(time.Second)
			x.Cut(n, "*")
			x.call++
			_, err := x.withdraw("k", x.call)
			assert.Assert(t, err == nil || n == x.owner(), "%s: %v", n, err)
			x.Heal()
			time.Sleep(5 * time.Second)
		}
	})
}
