package fanout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// court is an owner after the design: it counts who reads by boot, passes over what is withdrawn, and gives its yes once all readers asked from behind a mark. Its
// answers are late or lost, and questions reach it after their askers have given up. It also keeps what visitors have not got yet.
type court struct {
	mu      sync.Mutex
	r       *rand.Rand
	es      []log.Entry
	marks   marks
	open    []log.Entry
	yes     marks
	boot    string
	seq     uint64
	topics  map[string]int
	readers map[string]uint64
	wires   []*wired
	faults  []string
	shown   int
	cuts    int
	dones   int
}

func (c *court) fault(say string, a ...any) { c.faults = append(c.faults, fmt.Sprintf(say, a...)) }

func (c *court) roll(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.r.IntN(n)
}

func (c *court) way() {
	d := time.Duration(c.roll(20)) * time.Millisecond
	if c.roll(12) == 0 {
		d = time.Duration(c.roll(1500)) * time.Millisecond
	}
	time.Sleep(d)
}

func (c *court) covered(e log.Entry) bool {
	return e.Key != "" && e.Type == log.TypeMessage && c.marks.cover(e.Topic, e.Key, e.Offset)
}

// settle gives the yes to withdrawals that all readers have read behind.
func (c *court) settle() {
	c.open = slices.DeleteFunc(c.open, func(e log.Entry) bool {
		for _, at := range c.readers {
			if at < e.Offset {
				return false
			}
		}
		c.yes.add(e)
		return true
	})
}

func (c *court) write() {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := log.Entry{Offset: uint64(len(c.es) + 1), Type: log.TypeMessage, Topic: []string{"a", "b"}[c.r.IntN(2)], Key: []string{"", "k", "j"}[c.r.IntN(3)]}
	if e.Key != "" && c.r.IntN(3) == 0 {
		e.Type = log.TypeWithdrawal
	}
	c.es = append(c.es, e)
	if e.Type == log.TypeWithdrawal {
		c.marks.add(e)
		c.open = append(c.open, e)
		c.settle()
	}
}

// gather gives what is wanted behind a place, and notes who reads before anything with a key is given.
func (c *court) gather(boot string, from uint64, want func(log.Entry) bool) []log.Entry {
	var es []log.Entry
	for _, e := range c.es[from:] {
		if want(e) && !c.covered(e) {
			es = append(es, e)
		}
	}
	if _, ok := c.readers[boot]; keyed(es) && !ok {
		c.readers[boot] = 0
	}
	return es
}

func (c *court) told(q *leader.FollowRequest) *leader.FollowResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.Sequence <= c.seq || !q.Full && (q.BootID != c.boot || q.BaseSequence != c.seq) {
		return &leader.FollowResponse{Epoch: 1, UnknownFollower: true}
	}
	if q.Full {
		c.topics = map[string]int{}
	}
	if q.BootID != c.boot {
		clear(c.readers)
	}
	c.boot, c.seq = q.BootID, q.Sequence
	if q.Finished {
		c.dones++
		delete(c.readers, q.BootID)
	}
	c.settle()
	for t, n := range q.Topics {
		c.topics[t] = n
	}
	a := &leader.FollowResponse{Epoch: 1, CommittedEnd: uint64(len(c.es)), BacklogEnd: uint64(len(c.es))}
	a.Backlog = c.gather(q.BootID, 0, func(e log.Entry) bool {
		at, ok := q.After[e.Topic]
		return ok && e.Offset > at
	})
	if q.FirstOnly && len(a.Backlog) > 1 {
		a.BacklogEnd = a.Backlog[1].Offset - 1
		a.Backlog = a.Backlog[:1]
	}
	return a
}

func (c *court) polled(q *leader.PollRequest) *leader.PollResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q.BootID != c.boot || q.Sequence > c.seq {
		return &leader.PollResponse{Epoch: 1, UnknownFollower: true}
	}
	if at, ok := c.readers[q.BootID]; ok {
		c.readers[q.BootID] = max(at, q.From)
		c.settle()
	}
	a := &leader.PollResponse{Epoch: 1, To: uint64(len(c.es))}
	follows := func(e log.Entry) bool { return e.Type == log.TypeMessage && c.topics[e.Topic] > 0 }
	a.Entries = c.gather(q.BootID, q.From, follows)
	if _, ok := c.readers[q.BootID]; ok {
		a.Entries = c.gather(q.BootID, q.From, func(e log.Entry) bool { return e.Type == log.TypeWithdrawal || follows(e) })
	}
	if len(a.Entries) == 0 && q.Hold > 0 {
		return nil
	}
	return a
}

// ask has a question answered, or lost, whatever becomes of its asker.
func ask[A any](ctx context.Context, c *court, f func() *A) (*A, error) {
	got := make(chan *A, 1)
	go func() {
		c.way()
		a := f()
		c.way()
		if c.roll(10) > 0 {
			got <- a
		}
	}()
	select {
	case a := <-got:
		return a, nil
	case <-ctx.Done():
		return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer")
	}
}

func (c *court) Follow(ctx context.Context, _ assignment.Record, q *leader.FollowRequest) (*leader.FollowResponse, error) {
	return ask(ctx, c, func() *leader.FollowResponse { return c.told(q) })
}

func (c *court) Poll(ctx context.Context, _ assignment.Record, q *leader.PollRequest) (*leader.PollResponse, error) {
	cx, stop := context.WithTimeout(ctx, q.Hold+settings.DefaultTiming.CallTimeout())
	defer stop()
	until := time.Now().Add(q.Hold)
	return ask(cx, c, func() *leader.PollResponse {
		for {
			if time.Now().After(until) {
				q.Hold = 0
			}
			if a := c.polled(q); a != nil {
				return a
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// wired is a visitor's connection.
type wired struct {
	wait, fly []log.Entry
	busy, cut bool
}

func (c *court) give(w *wired, e log.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.cut {
		return
	}
	w.wait = append(w.wait, e)
	if !w.busy {
		w.busy = true
		go c.pump(w)
	}
}

// pump writes; what the visitor has taken is shown.
func (c *court) pump(w *wired) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(w.wait) > 0 && !w.cut {
		w.fly, w.wait = w.wait, nil
		d := time.Duration(c.r.IntN(10)) * time.Millisecond
		if c.r.IntN(20) == 0 {
			d = time.Duration(c.r.IntN(6000)) * time.Millisecond
		}
		c.mu.Unlock()
		time.Sleep(d)
		c.mu.Lock()
		for _, e := range w.fly {
			if e.Type == log.TypeMessage && e.Key != "" && c.yes.cover(e.Topic, e.Key, e.Offset) {
				c.fault("%s %s at %d was shown after the yes", e.Topic, e.Key, e.Offset)
			}
			c.shown++
		}
		w.fly = nil
	}
	w.busy = false
}

func (c *court) take(cut bool, covers func(log.Entry) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := true
	for _, w := range c.wires {
		w.wait = slices.DeleteFunc(w.wait, covers)
		if slices.ContainsFunc(w.fly, covers) {
			if cut {
				w.cut, w.wait, w.fly = true, nil, nil
				c.cuts++
			}
			free = free && cut
		}
	}
	return free
}

func (c *court) Withdraw(_ int, covered WithdrawnFunc) {
	c.take(true, func(e log.Entry) bool {
		return e.Type == log.TypeMessage && e.Key != "" && covered(e.Topic, e.Key, e.Offset)
	})
}

func (c *court) Release(_ int, cut bool) bool {
	return c.take(cut, func(e log.Entry) bool { return e.Type == log.TypeMessage && e.Key != "" })
}

// visit takes a topic up and drops it again and again, at any cursor.
func (c *court) visit(h *Hub, until time.Time) {
	var w *wired
	for time.Now().Before(until) {
		c.mu.Lock()
		if w == nil || w.cut {
			w = &wired{}
			c.wires = append(c.wires, w)
		}
		w := w
		s := h.NewSubscription(0, []string{"a", "b"}[c.r.IntN(2)])
		if n := len(c.es); c.r.IntN(3) > 0 && n > 0 {
			s.After = after(uint64(n - c.r.IntN(min(n, 60))))
		}
		c.mu.Unlock()
		var at uint64
		s.OnOpen = func(o uint64, _ error) { at = o }
		s.OnEntry = func(e log.Entry) {
			c.mu.Lock()
			for _, x := range c.es[at : e.Offset-1] {
				if x.Topic == s.Topic && x.Key == "" {
					c.fault("%s at %d was passed over", x.Topic, x.Offset)
				}
			}
			if e.Offset <= at {
				c.fault("%s at %d was given after %d", e.Topic, e.Offset, at)
			}
			c.mu.Unlock()
			at = e.Offset
			c.give(w, e)
		}
		s.OnBroken = func() {}
		h.Subscribe(s)
		time.Sleep(time.Duration(c.roll(2000)) * time.Millisecond)
		h.Unsubscribe(s)
		c.mu.Lock()
		w.wait = slices.DeleteFunc(w.wait, func(e log.Entry) bool { return e.Key != "" && e.Topic == s.Topic })
		c.mu.Unlock()
		if c.roll(3) == 0 {
			time.Sleep(time.Duration(c.roll(6000)) * time.Millisecond)
		}
	}
}

// However questions, answers and writes race with withdrawals, nothing is shown after the yes, each withdrawal gets its yes, and nothing else is passed over.
func TestNothingIsShownAfterTheYes(t *testing.T) {
	shown, cuts, dones := 0, 0, 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			c := &court{r: rand.New(rand.NewPCG(seed, 1)), marks: marks{}, yes: marks{}, readers: map[string]uint64{}}
			h := New(ctx, "a1", "boot", c, gossip.NewStore(nil), clock.Real{}, settings.DefaultTiming)
			h.AddBuffer(c)
			until := time.Now().Add(30 * time.Second)
			for range 1 + seed%3 {
				go c.visit(h, until)
			}
			for time.Now().Before(until) {
				c.write()
				time.Sleep(time.Duration(c.roll(40)) * time.Millisecond)
			}
			time.Sleep(time.Minute)
			synctest.Wait()
			c.mu.Lock()
			assert.Equal(t, len(c.faults), 0, "seed %d: %v", seed, c.faults)
			assert.Equal(t, len(c.open), 0, "seed %d: withdrawals without a yes, readers %v", seed, c.readers)
			shown, cuts, dones = shown+c.shown, cuts+c.cuts, dones+c.dones
			c.mu.Unlock()
			stop()
			time.Sleep(time.Minute)
		})
	}
	assert.Assert(t, shown > 1000 && cuts > 10 && dones > 10, "%d shown, %d cut, %d done", shown, cuts, dones)
	t.Logf("%d shown, %d connections cut, %d times done", shown, cuts, dones)
}
