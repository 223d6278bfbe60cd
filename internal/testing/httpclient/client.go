// Package httpclient simulates clients of the HTTP API from a seed. A client sends, follows a
// stream, resumes it, and records all that it receives.
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

// Client is one simulated client.
type Client struct {
	Name         string
	Clock        clock.Clock
	Transports   func() []transport.Transport
	History      *history.History
	FollowTopics []string
	SendTopics   []string
	Urgent       map[string]bool
	Live         map[string]bool
	SendInterval time.Duration
	Rand         *rand.Rand
	Spread       time.Duration

	mu          sync.Mutex
	token       string
	cursor      string
	closeStream context.CancelFunc
}

// Move closes the client's stream. The client resumes it through another node.
func (c *Client) Move() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeStream != nil {
		c.closeStream()
	}
}

const (
	sendTimeoutFactor = 2
	bodyLetters       = "abcdefghijklmnopqrstuvwxyz"
	minBodyBytes      = 60
	extraBodyBytes    = 300
)

func (c *Client) transport() transport.Transport {
	transports := c.Transports()
	c.mu.Lock()
	defer c.mu.Unlock()
	return transports[c.Rand.IntN(len(transports))]
}

func (c *Client) pause(ctx context.Context, delay time.Duration) {
	c.mu.Lock()
	fraction := c.Rand.Float64()
	c.mu.Unlock()
	_ = c.Clock.Sleep(ctx, clock.Jitter(delay, 1, fraction))
}

func (c *Client) attach(ctx context.Context) string {
	end := c.History.Begin(history.WaitAttach, c.Name, c.Clock.Now())
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, c.Spread*2)
		attachment, err := c.transport().Attach(attemptCtx, c.Name)
		cancel()
		if err == nil {
			end(c.Clock.Now())
			c.mu.Lock()
			c.token = attachment.Token
			c.mu.Unlock()
			return attachment.Token
		}
		c.pause(ctx, c.Spread/10)
	}
	return ""
}

func (c *Client) currentToken() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.token
}

// Run follows the stream until ctx ends, and sends until sendCtx ends.
func (c *Client) Run(ctx, sendCtx context.Context) {
	c.attach(ctx)
	ready := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { c.listen(ctx, ready) })
	for i, topic := range c.SendTopics {
		wg.Go(func() {
			if len(c.FollowTopics) > 0 {
				select {
				case <-ready:
				case <-ctx.Done():
				}
			}
			c.send(sendCtx, topic, i)
		})
	}
	wg.Wait()
}

func (c *Client) listen(ctx context.Context, ready chan struct{}) {
	if len(c.FollowTopics) == 0 {
		return
	}
	first := true
	endWait := c.History.Begin(history.WaitOpen, c.Name, c.Clock.Now())
	for ctx.Err() == nil {
		token := c.currentToken()
		streamCtx, onEvent := c.watchStream(ctx)
		opened := false
		err := c.transport().Follow(streamCtx, token, c.FollowTopics, c.cursor, func(event client.Event) error {
			now := c.Clock.Now()
			onEvent()
			if !opened && event.End == nil {
				opened = true
				endWait(now)
			}
			if event.End == nil {
				c.recordSubscribed(event, now)
			}
			if first {
				first = false
				close(ready)
			}
			c.cursor = event.Cursor
			if event.Topic != "" {
				partition := 0
				if event.Partition != nil {
					partition = *event.Partition
				}
				c.History.Receive(c.Name, history.Receipt{Message: history.Message{Topic: event.Topic, From: event.From,
					Call: event.CallSeq}, Body: string(event.Body), Partition: partition, Offset: event.Offset,
					At: now})
			}
			return nil
		})
		if opened {
			endWait = c.History.Begin(history.WaitOpen, c.Name, c.Clock.Now())
		}
		if apierror.HasCode(err, apierror.TokenForeign) || apierror.HasCode(err, apierror.TokenFenced) {
			if c.currentToken() == token {
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

// recordSubscribed records from when on topics are followed: those that the stream's first event
// does not name as pending, and those confirmed later.
func (c *Client) recordSubscribed(event client.Event, now time.Time) {
	if event.Attached > 0 {
		var topics []string
		for _, topic := range c.FollowTopics {
			if !slices.Contains(event.Waiting, topic) {
				topics = append(topics, topic)
			}
		}
		c.History.Subscribe(c.Name, topics, c.Live, now)
	}
	c.History.Subscribe(c.Name, event.Subscribed, c.Live, now)
}

const silenceFactor = 1.5

// watchStream returns a context that ends once a stream had no event or keepalive for silenceFactor
// times Spread, and a function to call on each event or keepalive.
func (c *Client) watchStream(ctx context.Context) (context.Context, func()) {
	streamCtx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	c.closeStream = cancel
	c.mu.Unlock()
	var mu sync.Mutex
	last := c.Clock.Now()
	limit := time.Duration(silenceFactor * float64(c.Spread))
	go func() {
		defer cancel()
		for {
			mu.Lock()
			remaining := limit - c.Clock.Now().Sub(last)
			mu.Unlock()
			if remaining <= 0 || c.Clock.Sleep(streamCtx, remaining) != nil {
				return
			}
		}
	}()
	return streamCtx, func() {
		mu.Lock()
		defer mu.Unlock()
		last = c.Clock.Now()
	}
}

func (c *Client) body(topic string, number uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	length := minBodyBytes + c.Rand.IntN(extraBodyBytes)
	return fmt.Sprintf(`"%s %s %d %s"`, c.Name, topic, number,
		strings.Repeat(bodyLetters[int(number)%26:int(number)%26+1], length))
}

var finalErrors = map[apierror.Code]bool{
	apierror.CallPassed: true, apierror.CallAltered: true, apierror.CallForgotten: true,
	apierror.UnknownTopic: true, apierror.UnknownSpace: true,
	apierror.TokenFenced: true, apierror.TokenForeign: true, apierror.TokenMissing: true, apierror.Malformed: true,
	apierror.Oversize: true,
}

func (c *Client) send(ctx context.Context, topic string, lane int) {
	c.pause(ctx, c.SendInterval)
	for call := uint64(1); ctx.Err() == nil; call++ {
		body := c.body(topic, call)
		message := history.Message{Topic: topic, From: c.Name, Call: call}
		c.History.Send(message, body, c.Urgent[topic], c.Clock.Now())
		endWait := c.History.Begin(history.WaitAccept, topic, c.Clock.Now())
		for ctx.Err() == nil {
			token := c.currentToken()
			requestedAt := c.Clock.Now()
			attemptCtx, cancel := context.WithTimeout(ctx, sendTimeoutFactor*c.Spread)
			receipt, err := c.transport().Send(attemptCtx, token, topic, call, []byte(body))
			cancel()
			if err == nil {
				c.History.AcceptMessage(message, receipt.Partition, receipt.Offset, c.Clock.Now())
				endWait(c.Clock.Now())
				break
			}
			problem := apierror.From(err)
			if problem.Code == apierror.TokenForeign || problem.Code == apierror.TokenFenced {
				if c.currentToken() == token {
					c.attach(ctx)
				}
				continue
			}
			if problem.Code == apierror.Internal {
				c.History.Violate(history.Foreign, "%s got an error without a code: %v", c.Name, err)
			}
			if finalErrors[problem.Code] {
				c.History.Violate(history.Lost, "%s got %s for %v, which it sends in order: %v", c.Name, problem.Code,
					message, err)
				return
			}
			c.History.Retried(string(problem.Code), c.Clock.Now().Sub(requestedAt))
			c.pause(ctx, max(c.Spread/30, time.Duration(problem.RetryAfterMS)*time.Millisecond/2))
		}
		endWait(c.Clock.Now())
		c.pause(ctx, c.SendInterval*2/3)
	}
}
