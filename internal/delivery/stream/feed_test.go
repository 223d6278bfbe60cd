package stream

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// clerk is an owner whose ledger a test writes.
type clerk struct {
	mu    sync.Mutex
	es    []log.Entry
	base  uint64
	epoch uint64
	asked []leader.ReadRequest
	turn  uint64
	clean map[string]bool
	late  chan struct{}
	news  chan struct{}
}

func (c *clerk) ReadAsReader(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	for end := time.Now().Add(q.Hold); ; {
		c.mu.Lock()
		c.asked = append(c.asked, *q)
		r := &leader.ReadResponse{Base: c.base, To: uint64(len(c.es)), Epoch: c.epoch, ReaderToken: c.turn}
		late, news := c.late, c.news
		switch {
		case c.clean[q.BootID]:
			r.MustReset = true
		case q.From < r.To:
			r.Entries = append(r.Entries, c.es[max(q.From, c.base):]...)
		}
		c.mu.Unlock()
		if (q.Beside || q.From == ^uint64(0)) && late != nil {
			<-late
		}
		left := time.Until(end)
		if r.MustReset || len(r.Entries) > 0 || left <= 0 || q.From == ^uint64(0) {
			return r, nil
		}
		cx, stop := context.WithTimeout(ctx, left)
		select {
		case <-news:
		case <-cx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

func (c *clerk) write(what, key, body string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.es = append(c.es, log.Entry{Offset: uint64(len(c.es)) + 1, Type: what, Topic: "t", Key: key, Body: []byte(body)})
	close(c.news)
	c.news = make(chan struct{})
	return uint64(len(c.es))
}

func (c *clerk) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// read gives how far the reader of a boot has said that it forgot.
func (c *clerk) read(boot string) (at uint64, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.asked {
		if q.BootID == boot && !q.Beside && !q.Finished && q.From != ^uint64(0) {
			at = max(at, q.From)
		}
		done = done || q.BootID == boot && q.Finished
	}
	return at, done
}

type run struct {
	*testing.T
	c     *clerk
	fs    *Feeds
	d     *Feed
	leave func()
}

func (x *run) held(o uint64) Window {
	w, ok := x.d.Held(o)
	assert.Assert(x, ok)
	return w
}

func (x *run) fate(w Window, i int) Fate {
	f, end := x.d.Begin(w, w.Entries[i], func() {})
	if f == FateDeliver {
		end()
	}
	return f
}

func TestFeeds(t *testing.T) {
	for name, f := range map[string]func(x *run){
		"a withdrawal empties the cache and the windows filled before, and what comes behind it under its key is new": func(x *run) {
			x.c.write(log.TypeMessage, "k", "old")
			x.c.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			w := x.held(0)
			x.c.write(log.TypeWithdrawal, "k", "")
			x.c.write(log.TypeMessage, "k", "new")
			synctest.Wait()
			assert.Equal(x, x.fate(w, 0), FateWithdrawn)
			assert.Equal(x, x.fate(w, 1), FateDeliver)
			n := x.held(0)
			assert.Equal(x, fmt.Sprintf("%s %v", n.Entries[0].Body, n.Entries[0].BodyDropped), " true")
			assert.Equal(x, string(n.Entries[1].Body)+string(n.Entries[3].Body), "othernew")
			assert.Equal(x, string(w.Entries[0].Body), "old")
			assert.Equal(x, x.fate(n, 3), FateDeliver)
			at, _ := x.c.read("b.1")
			assert.Equal(x, at, uint64(4))
		},
		"an answer to a question of before is withdrawn when it comes late": func(x *run) {
			for range 3 {
				x.c.write(log.TypeMessage, "k", "old")
			}
			synctest.Wait()
			x.d.mu.Lock()
			x.d.es, x.d.at, x.d.base = nil, nil, x.d.to
			x.d.mu.Unlock()
			x.c.set(func() { x.c.late = make(chan struct{}) })
			got := make(chan Window, 1)
			go func() {
				w, err := x.d.After(x.Context(), 1)
				assert.Check(x, err)
				got <- w
			}()
			synctest.Wait()
			x.c.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			close(x.c.late)
			w := <-got
			assert.Equal(x, string(w.Entries[0].Body), "old")
			assert.Equal(x, x.fate(w, 0), FateWithdrawn)
			at, _ := x.c.read("b.1")
			assert.Equal(x, at, uint64(4))
		},
		"a write that is under way is cut off and over before anything behind the mark is asked for": func(x *run) {
			x.c.write(log.TypeMessage, "k", "old")
			x.c.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			w := x.held(0)
			cut := make(chan bool, 3)
			_, end := x.d.Begin(w, w.Entries[0], func() { cut <- true })
			_, spared := x.d.Begin(w, w.Entries[1], func() { cut <- false })
			x.c.write(log.TypeWithdrawal, "k", "")
			synctest.Wait()
			assert.Equal(x, len(cut), 1)
			assert.Assert(x, <-cut)
			time.Sleep(10 * time.Second)
			at, _ := x.c.read("b.1")
			assert.Equal(x, at, uint64(2))
			assert.Equal(x, len(x.held(2).Entries), 1)
			end()
			synctest.Wait()
			at, _ = x.c.read("b.1")
			assert.Equal(x, at, uint64(3))
			spared()
		},
		"past a number of marks windows are filled anew": func(x *run) {
			x.c.write(log.TypeMessage, "k", "old")
			x.c.write(log.TypeMessage, "", "without")
			synctest.Wait()
			w := x.held(0)
			x.c.write(log.TypeWithdrawal, "k", "")
			for i := range marksMost {
				x.c.write(log.TypeWithdrawal, fmt.Sprint(i), "")
			}
			synctest.Wait()
			x.d.mu.Lock()
			n := len(x.d.marks)
			x.d.mu.Unlock()
			assert.Assert(x, n <= marksMost)
			assert.Equal(x, x.fate(w, 0), FateStale)
			assert.Equal(x, x.fate(w, 1), FateDeliver)
			assert.Assert(x, x.held(0).Entries[0].BodyDropped)
		},
		"marks that were passed over make windows stale and cut writes off": func(x *run) {
			x.c.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			w := x.held(0)
			cut := make(chan bool, 1)
			_, end := x.d.Begin(w, w.Entries[0], func() { cut <- true })
			x.c.set(func() {
				for range 5 {
					x.c.es = append(x.c.es, log.Entry{})
				}
				x.c.base = 6
			})
			x.c.write(log.TypeMessage, "m", "far")
			synctest.Wait()
			assert.Equal(x, len(cut), 1)
			end()
			assert.Equal(x, x.fate(w, 0), FateStale)
			synctest.Wait()
			assert.Equal(x, string(x.held(6).Entries[0].Body), "far")
		},
		"a reader that was given up lets go of all and goes on under another boot": func(x *run) {
			x.c.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			w := x.held(0)
			cut := make(chan bool, 1)
			_, end := x.d.Begin(w, w.Entries[0], func() { cut <- true })
			x.c.set(func() { x.c.clean, x.c.late = map[string]bool{"b.1": true}, make(chan struct{}) })
			x.c.write(log.TypeMessage, "l", "other")
			synctest.Wait()
			assert.Equal(x, len(cut), 1)
			end()
			synctest.Wait()
			assert.Equal(x, x.fate(w, 0), FateStale)
			_, ok := x.d.Held(0)
			assert.Assert(x, !ok)
			close(x.c.late)
			synctest.Wait()
			assert.Equal(x, x.d.To(), uint64(2))
			x.c.write(log.TypeMessage, "m", "new")
			synctest.Wait()
			assert.Equal(x, string(x.held(2).Entries[0].Body), "new")
			x.c.set(func() {
				q := x.c.asked[len(x.c.asked)-1]
				assert.Check(x, q.BootID != "b.1" && q.From == 3, "%+v", q)
			})
		},
		"nothing is taken from an owner that is known to be superseded": func(x *run) {
			x.c.set(func() { x.c.epoch = 7 })
			x.c.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			x.c.set(func() { x.c.epoch = 6 })
			x.c.write(log.TypeMessage, "k", "older owner's")
			time.Sleep(time.Second)
			assert.Equal(x, x.d.To(), uint64(1))
			x.c.set(func() { x.c.epoch = 8 })
			time.Sleep(time.Second)
			assert.Equal(x, x.d.To(), uint64(2))
		},
		"the last stream that leaves ends the reader, and the next one is another": func(x *run) {
			_, again, err := x.fs.Follow(x.Context(), 0, make(chan struct{}, 1))
			assert.NilError(x, err)
			x.leave()
			synctest.Wait()
			_, done := x.c.read("b.1")
			assert.Assert(x, !done)
			again()
			synctest.Wait()
			_, done = x.c.read("b.1")
			assert.Assert(x, done)
			d, leave, err := x.fs.Follow(x.Context(), 0, make(chan struct{}, 1))
			assert.NilError(x, err)
			defer leave()
			assert.Assert(x, d.boot != "b.1")
		},
		"the turn that an answer gives is told with the next question": func(x *run) {
			x.c.set(func() { x.c.turn = 9 })
			x.c.write(log.TypeMessage, "k", "old")
			synctest.Wait()
			x.c.set(func() { assert.Check(x, x.c.asked[len(x.c.asked)-1].ReaderToken == 9) })
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				c := &clerk{news: make(chan struct{})}
				fs := New(ctx, "a1", "b", c, clock.Real{}, settings.DefaultTiming)
				d, leave, err := fs.Follow(ctx, 0, make(chan struct{}, 1))
				assert.NilError(t, err)
				f(&run{t, c, fs, d, leave})
				stop()
				synctest.Wait()
			})
		})
	}
}
