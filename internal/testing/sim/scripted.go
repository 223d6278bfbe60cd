package sim

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

// ScriptedClient is a client that does what a script says, on one connection to a named machine.
// What it receives goes to the checker.
type ScriptedClient struct {
	Name, Machine string

	clients *LineClients
	session *lineSession
	// mu guards responses, subscriptions, cursors and ended.
	mu            sync.Mutex
	responses     []TimedResponse
	subscriptions map[string]*deliverycheck.Subscription
	// cursors maps each topic to the cursor from which it was resumed.
	cursors map[string]string
	ended   bool
	notify  chan struct{}
}

// TimedResponse is a response, and when the connection accepted its last byte.
type TimedResponse struct {
	session.Response
	WrittenAt time.Time
}

const scriptedTimeout = 3 * time.Second

// ConnectScripted connects and attaches a scripted client. It returns nil if no node answers.
func (c *LineClients) ConnectScripted(machine, name string) *ScriptedClient {
	client := &ScriptedClient{Name: name, Machine: machine, clients: c, subscriptions: map[string]*deliverycheck.Subscription{},
		cursors: map[string]string{}, notify: make(chan struct{}, 1)}
	client.session = c.connect(c.world.Machines[machine], true, client.receive, client.onBroken)
	if client.session == nil {
		return nil
	}
	client.session.Do(session.Request{Verb: session.Attach, Client: name})
	if response, ok := client.Wait(0, scriptedTimeout, func(response session.Response) bool {
		return response.Type == session.Attached || response.InReplyTo == session.Attach
	}); !ok || response.Type != session.Attached {
		client.session.End()
		return nil
	}
	c.wg.Go(client.heartbeat)
	return client
}

func (c *ScriptedClient) heartbeat() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for !c.Ended() {
		select {
		case <-t.C:
			c.session.Do(session.Request{Verb: session.Heartbeat})
		case <-c.clients.world.ctx.Done():
			c.session.End()
			return
		}
	}
}

func (c *ScriptedClient) onBroken() {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	signal(c.notify)
}

// Ended reports whether the connection broke or was closed.
func (c *ScriptedClient) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// End closes the connection and ends all subscriptions.
func (c *ScriptedClient) End() {
	c.mu.Lock()
	for _, subscription := range c.subscriptions {
		subscription.Ended(time.Now())
	}
	c.mu.Unlock()
	c.onBroken()
	c.session.End()
}

// Disconnect drops the connection. The subscriptions may be resumed.
func (c *ScriptedClient) Disconnect() {
	c.onBroken()
	c.session.End()
}

// Pause stops the client from reading for a while.
func (c *ScriptedClient) Pause(d time.Duration) { c.session.Pause(d) }

func (c *ScriptedClient) receive(response session.Response, writtenAt time.Time) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.responses = append(c.responses, TimedResponse{response, writtenAt})
	subscription := c.subscriptions[response.Topic]
	c.mu.Unlock()
	now, checker := time.Now(), c.clients.Checker
	switch response.Type {
	case session.Subscribed:
		subscription.Joined(now)
	case session.Message:
		subscription.Received(deliverycheck.Message{Topic: response.Topic, From: response.From, CallSeq: response.CallSeq},
			string(response.Body),
			deliverycheck.Position{Partition: response.Partition, Offset: response.Offset}, writtenAt)
	case session.Accepted:
		checker.Accepted(deliverycheck.Message{Topic: response.Topic, From: c.Name, CallSeq: response.CallSeq}, now)
	case session.Withdrawn:
		checker.WithdrawalReceived(c.Name, response.Topic, response.Key, now)
	case session.Rejected:
		if response.InReplyTo == session.Send && simclient.FinalRejections[apierror.From(response.Err).Code] {
			checker.Rejected(deliverycheck.Message{Topic: response.Topic, From: c.Name, CallSeq: response.CallSeq})
		}
	}
	signal(c.notify)
}

// ResponseCount returns how many responses the client has received.
func (c *ScriptedClient) ResponseCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.responses)
}

// Responses returns the responses that the client has received.
func (c *ScriptedClient) Responses() []TimedResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responses[:len(c.responses):len(c.responses)]
}

// Wait waits for the first matching response whose index is at least from.
func (c *ScriptedClient) Wait(from int, limit time.Duration, matches func(session.Response) bool) (TimedResponse, bool) {
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		c.mu.Lock()
		for ; from < len(c.responses); from++ {
			if matches(c.responses[from].Response) {
				response := c.responses[from]
				c.mu.Unlock()
				return response, true
			}
		}
		ended := c.ended
		c.mu.Unlock()
		if ended {
			return TimedResponse{}, false
		}
		select {
		case <-c.notify:
		case <-end.C:
			return TimedResponse{}, false
		}
	}
}

// Subscribe subscribes to a topic, from a cursor if there is one, and reports whether that was
// accepted.
func (c *ScriptedClient) Subscribe(topic, cursor string) (TimedResponse, bool) {
	c.mu.Lock()
	if c.subscriptions[topic] == nil {
		c.subscriptions[topic] = c.clients.Checker.Subscribe(c.Name, topic, strings.HasPrefix(topic, "kept/"))
	}
	received := len(c.responses)
	c.mu.Unlock()
	c.session.Do(session.Request{Verb: session.Subscribe, Topic: topic, Cursor: cursor})
	response, ok := c.Wait(received, scriptedTimeout, func(candidate session.Response) bool {
		return candidate.Topic == topic && (candidate.Type == session.Subscribed || candidate.InReplyTo == session.Subscribe)
	})
	return response, ok && response.Type == session.Subscribed
}

// Resume continues the subscription of an ended client of the same name, and its record in the
// checker.
func (c *ScriptedClient) Resume(previous *ScriptedClient, topic string) (TimedResponse, bool) {
	previous.mu.Lock()
	cursor := previous.cursors[topic]
	for _, response := range previous.responses {
		if response.Topic == topic && response.Cursor != "" {
			cursor = response.Cursor
		}
	}
	subscription, responses := previous.subscriptions[topic], previous.responses
	previous.mu.Unlock()
	c.mu.Lock()
	c.responses = append(responses[:len(responses):len(responses)], c.responses...)
	c.subscriptions[topic], c.cursors[topic] = subscription, cursor
	c.mu.Unlock()
	return c.Subscribe(topic, cursor)
}

// Body returns the body that the client sends under a call number.
func (c *ScriptedClient) Body(call uint64) string {
	return fmt.Sprintf("%s %d %s", c.Name, call, strings.Repeat("x", scriptedBodyBytes))
}

const scriptedBodyBytes = 300

// SendAsync sends without waiting.
func (c *ScriptedClient) SendAsync(topic, key string, call uint64) {
	c.clients.Checker.Try(deliverycheck.Message{Topic: topic, From: c.Name, CallSeq: call}, key, c.Body(call), time.Now())
	c.session.Do(session.Request{Verb: session.Send, Topic: topic, Key: key, CallSeq: call, Body: []byte(c.Body(call))})
}

// Send sends and returns the response.
func (c *ScriptedClient) Send(topic, key string, call uint64) (TimedResponse, bool) {
	received := c.ResponseCount()
	c.SendAsync(topic, key, call)
	return c.Wait(received, scriptedTimeout, func(response session.Response) bool {
		return response.Topic == topic && response.CallSeq == call && (response.Type == session.Accepted || response.InReplyTo == session.Send)
	})
}

// SendAccepted sends until the message is accepted or rejected for good, and reports whether it was
// accepted.
func (c *ScriptedClient) SendAccepted(topic, key string, call uint64) bool {
	for range 20 {
		response, ok := c.Send(topic, key, call)
		if ok && response.Type == session.Accepted {
			return true
		}
		if ok && simclient.FinalRejections[apierror.From(response.Err).Code] {
			return false
		}
		time.Sleep(c.clients.world.Site.Timing.MaxBackoff())
	}
	return false
}

// Withdraw requests a withdrawal once and records the response.
func (c *ScriptedClient) Withdraw(withdrawal deliverycheck.Withdrawal) (TimedResponse, bool) {
	withdrawal.Client = c.Name
	attempt := c.clients.Checker.Withdraw(withdrawal, time.Now())
	received := c.ResponseCount()
	c.session.Do(session.Request{Verb: session.Withdraw, Topic: withdrawal.Topic, Key: withdrawal.Key,
		CallSeq: withdrawal.Call, WithdrawSender: withdrawal.Sender, WithdrawUpTo: withdrawal.UpTo})
	response, ok := c.Wait(received, scriptedTimeout, func(candidate session.Response) bool {
		return candidate.Topic == withdrawal.Topic && candidate.CallSeq == withdrawal.Call &&
			(candidate.Type == session.WithdrawalComplete || candidate.InReplyTo == session.Withdraw)
	})
	switch {
	case !ok:
	case response.Type == session.WithdrawalComplete:
		attempt.Completed(deliverycheck.Position{Partition: response.Partition, Offset: response.Offset}, response.WrittenAt)
	case apierror.HasCode(response.Err, apierror.WithdrawalOpen):
		attempt.Recorded(time.Now())
	case simclient.FinalWithdrawalRejections[apierror.From(response.Err).Code]:
		attempt.Void()
	}
	return response, ok
}
