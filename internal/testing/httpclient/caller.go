// Package httpclient is a seeded stand-in for handsets and desk clients: it sends, listens, resumes
// and notes all it sees.
package httpclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client"
	"postjunction/internal/clock"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/transport"
)

// Caller is one visitor.
type Client struct {
	Name    string
	Clock   clock.Clock
	Transports   func() []transport.Transport
	History *history.History
	Follows []string
	Sends   []string
	Urgent  map[string]bool
	Live    map[string]bool
	Every   time.Duration
	Rand    *rand.Rand
	Spread  time.Duration

	mu     sync.Mutex
	token  string
	cursor string
	leave  context.CancelFunc
}

// Move leaves the node that the caller listens through; it comes back through another.
func (c *Client) Move() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leave != nil {
		c.leave()
	}
}

const (
	patience   = 2
	bodyLetter = "abcdefghijklmnopqrstuvwxyz"
	bodyMin    = 60
	bodyMore   = 300
)

func (c *Client) port() transport.Transport {
	ps := c.Transports()
	c.mu.Lock()
	defer c.mu.Unlock()
	return ps[c.Rand.IntN(len(ps))]
}

func (c *Client) pause(ctx context.Context, d time.Duration) {
	c.mu.Lock()
	x := c.Rand.Float64()
	c.mu.Unlock()
	_ = c.Clock.Sleep(ctx, clock.Jitter(d, 1, x))
}

func (c *Client) attach(ctx context.Context) string {
	end := c.History.Begin(history.WaitAttach, c.Name, c.Clock.Now())
	for ctx.Err() == nil {
		cx, stop := context.WithTimeout(ctx, c.Spread*2)
		a, err := c.port().Attach(cx, c.Name)
		stop()
		if err == nil {
			end(c.Clock.Now())
			c.mu.Lock()
			c.token = a.Token
			c.mu.Unlock()
			return a.Token
		}
		c.pause(ctx, c.Spread/10)
	}
	return ""
}

func (c *Client) current() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// Run listens until ctx ends, and sends until sends ends.
func (c *Client) Run(ctx, sends context.Context) {
	c.attach(ctx)
	ready := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.listen(ctx, ready) })
	for i, t := range c.Sends {
		wg.Go(func() {
			if len(c.Follows) > 0 {
				select {
				case <-ready:
				case <-ctx.Done():
				}
			}
			c.send(sends, t, i)
		})
	}
	wg.Wait()
}

func (c *Client) listen(ctx context.Context, ready chan struct{}) {
	if len(c.Follows) == 0 {
		return
	}
	first := true
	opened := c.History.Begin(history.WaitOpen, c.Name, c.Clock.Now())
	for ctx.Err() == nil {
		t := c.current()
		cx, alive := c.watch(ctx)
		got := false
		err := c.port().Follow(cx, t, c.Follows, c.cursor, func(l client.Event) error {
			now := c.Clock.Now()
			alive()
			if !got && l.End == nil {
				got = true
				opened(now)
			}
			if l.End == nil {
				c.note(l, now)
			}
			if first {
				first = false
				close(ready)
			}
			c.cursor = l.Cursor
			if l.Topic != "" {
				p := 0
				if l.Partition != nil {
					p = *l.Partition
				}
				c.History.Receive(c.Name, history.Receipt{Message: history.Message{Topic: l.Topic, From: l.From,
					Call: l.CallSeq}, Body: string(l.Body), Partition: p, Offset: l.Offset, At: now})
			}
			return nil
		})
		if got {
			opened = c.History.Begin(history.WaitOpen, c.Name, c.Clock.Now())
		}
		if apierror.HasCode(err, apierror.TokenForeign) || apierror.HasCode(err, apierror.TokenFenced) {
			if c.current() == t {
				c.attach(ctx)
			}
		}
		if apierror.HasCode(err, apierror.CursorExpired) || apierror.HasCode(err, apierror.CursorMalformed) {
			c.History.Violate(history.Missed, "%s could not resume: %v", c.Name, err)
			c.cursor = ""
		}
		c.pause(ctx, c.Spread/20)
	}
}

// note tells the history from when on topics are followed: those that the first line does not name
// as waiting, and those that joined.
func (c *Client) note(l client.Event, now time.Time) {
	if l.Attached > 0 {
		var ts []string
		for _, t := range c.Follows {
			if !slices.Contains(l.Waiting, t) {
				ts = append(ts, t)
			}
		}
		c.History.Subscribe(c.Name, ts, c.Live, now)
	}
	c.History.Subscribe(c.Name, l.Subscribed, c.Live, now)
}

const silence = 1.5

// watch gives a context that ends once a stream shows no sign of life for longer than the time
// between two of them.
func (c *Client) watch(ctx context.Context) (context.Context, func()) {
	cx, stop := context.WithCancel(ctx)
	c.mu.Lock()
	c.leave = stop
	c.mu.Unlock()
	var mu sync.Mutex
	last := c.Clock.Now()
	limit := time.Duration(silence * float64(c.Spread))
	go func() {
		defer stop()
		for {
			mu.Lock()
			left := limit - c.Clock.Now().Sub(last)
			mu.Unlock()
			if left <= 0 || c.Clock.Sleep(cx, left) != nil {
				return
			}
		}
	}()
	return cx, func() {
		mu.Lock()
		defer mu.Unlock()
		last = c.Clock.Now()
	}
}

func (c *Client) body(topic string, n uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := bodyMin + c.Rand.IntN(bodyMore)
	return fmt.Sprintf(`"%s %s %d %s"`, c.Name, topic, n, strings.Repeat(bodyLetter[int(n)%26:int(n)%26+1], k))
}

var definite = map[apierror.Code]bool{
	apierror.CallPassed: true, apierror.CallAltered: true, apierror.CallForgotten: true,
	apierror.UnknownTopic: true, apierror.UnknownSpace: true,
	apierror.TokenFenced: true, apierror.TokenForeign: true, apierror.TokenMissing: true, apierror.Malformed: true,
	apierror.Oversize: true,
}

func (c *Client) send(ctx context.Context, topic string, lane int) {
	c.pause(ctx, c.Every)
	for n := uint64(1); ctx.Err() == nil; n++ {
		b := c.body(topic, n)
		m := history.Message{Topic: topic, From: c.Name, Call: n}
		c.History.Send(m, b, c.Urgent[topic], c.Clock.Now())
		end := c.History.Begin(history.WaitAccept, topic, c.Clock.Now())
		for ctx.Err() == nil {
			t := c.current()
			asked := c.Clock.Now()
			cx, stop := context.WithTimeout(ctx, patience*c.Spread)
			r, err := c.port().Send(cx, t, topic, n, []byte(b))
			stop()
			if err == nil {
				c.History.AcceptMessage(m, r.Partition, r.Offset, c.Clock.Now())
				end(c.Clock.Now())
				break
			}
			p := apierror.From(err)
			if p.Code == apierror.TokenForeign || p.Code == apierror.TokenFenced {
				if c.current() == t {
					c.attach(ctx)
				}
				continue
			}
			if p.Code == apierror.Internal {
				c.History.Violate(history.Foreign, "%s got an untyped failure: %v", c.Name, err)
			}
			if definite[p.Code] {
				c.History.Violate(history.Lost, "%s was told %s for %v, which it sends in order: %v", c.Name, p.Code, m, err)
				return
			}
			c.History.Retried(string(p.Code), c.Clock.Now().Sub(asked))
			c.pause(ctx, max(c.Spread/30, time.Duration(p.RetryAfterMS)*time.Millisecond/2))
		}
		end(c.Clock.Now())
		c.pause(ctx, c.Every*2/3)
	}
}
