package simclient

import (
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
)

// Promises are the problems that say that a message was not taken and never will be.
var FinalRejections = map[apierror.Code]bool{
	apierror.Overloaded: true, apierror.ShuttingDown: true, apierror.NoLease: true, apierror.NoPartitionLeader: true,
	apierror.CallPassed: true,
}

// Voids are the problems that say that nothing was withdrawn under a number and never will be.
var FinalWithdrawalRejections = map[apierror.Code]bool{apierror.KeyUnknown: true, apierror.CallPassed: true}

func (client *Client) sub(topic string) *subscription {
	if i := slices.IndexFunc(client.subs, func(s *subscription) bool { return s.Name == topic }); i >= 0 {
		return client.subs[i]
	}
	return nil
}

func (client *Client) message(topic string, call uint64) (*lane, *message) {
	for _, l := range client.lanes {
		if l.Topic != topic {
			continue
		}
		for _, m := range l.messages {
			if m.call == call {
				return l, m
			}
		}
	}
	return nil, nil
}

var responseHandlers = map[session.ResponseType]func(client *Client, now time.Time, response session.Response){
	session.Attached: func(client *Client, _ time.Time, _ session.Response) { client.attached = true },
	session.Alive:    func(*Client, time.Time, session.Response) {},
	session.Subscribed: func(client *Client, now time.Time, response session.Response) {
		sub := client.sub(response.Topic)
		if sub == nil || sub.state != subscribing {
			client.Checker.Violation(deliverycheck.Mixed, "%s was told that it joined %s, which it did not ask",
				client.Name, response.Topic)
			return
		}
		sub.state = subscribed
		sub.session.Joined(now)
		sub.presence.Joined(now)
		if sub.cursor != "" && sub.cursor != response.Cursor && sub.Kept {
			client.Checker.Violation(deliverycheck.Mixed, "%s joined %s with cursor %q and was told %q", client.Name,
				sub.Name, sub.cursor, response.Cursor)
		}
		sub.cursor = response.Cursor
	},
	session.Unsubscribed: func(client *Client, now time.Time, response session.Response) {
		sub := client.sub(response.Topic)
		if sub == nil || sub.state != unsubscribing {
			client.Checker.Violation(deliverycheck.Mixed, "%s was told that it left %s, which it did not ask",
				client.Name, response.Topic)
			return
		}
		sub.state, sub.session, sub.cursor, sub.retry = unsubscribed, nil, "", now
	},
	session.Message: func(client *Client, now time.Time, response session.Response) {
		m := deliverycheck.Message{Topic: response.Topic, From: response.From, CallSeq: response.CallSeq}
		sub := client.sub(response.Topic)
		if sub == nil || sub.state == idle || sub.state == unsubscribed {
			client.Checker.Stray(client.Name, m, now)
			return
		}
		if sub.state == unsubscribing {
			return
		}
		sub.session.Received(m, string(response.Body), deliverycheck.Position{Partition: response.Partition,
			Offset: response.Offset}, client.shown)
		client.seen[response.Topic] = m
		sub.cursor = response.Cursor
		if client.Saved != nil && sub.Kept && client.Rand.IntN(savedOneIn) == 0 {
			client.Saved(Topic{Name: sub.Name, Kept: true, Cursor: response.Cursor, LastMessage: m, Given: now})
		}
	},
	session.Accepted: func(client *Client, now time.Time, response session.Response) {
		client.Checker.Accepted(deliverycheck.Message{Topic: response.Topic, From: client.Name,
			CallSeq: response.CallSeq}, now)
		if in, sent := client.message(response.Topic, response.CallSeq); sent != nil {
			in.messages = slices.DeleteFunc(in.messages, func(x *message) bool { return x == sent })
		}
	},
	session.WithdrawalComplete: func(client *Client, now time.Time, response session.Response) {
		in, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil {
			return
		}
		if sent.withdrawal == nil || sent.withdrawal.Key != response.Key {
			client.Checker.Violation(deliverycheck.Mixed,
				"%s was told that %s of %s, %d, is forgotten, which it did not ask", client.Name, response.Key,
				response.Topic, response.CallSeq)
			return
		}
		sent.withdrawal.Completed(deliverycheck.Position{Partition: response.Partition, Offset: response.Offset}, client.shown)
		in.messages = slices.DeleteFunc(in.messages, func(x *message) bool { return x == sent })
	},
	session.Withdrawn: func(client *Client, now time.Time, response session.Response) {
		client.Checker.WithdrawalReceived(client.Name, response.Topic, response.Key, now)
	},
	session.Counted: func(client *Client, now time.Time, response session.Response) {
		at, ok := client.counted[response.Topic]
		if !ok {
			client.Checker.Violation(deliverycheck.Mixed, "%s was told a count of %s, which it did not ask", client.Name,
				response.Topic)
			return
		}
		delete(client.counted, response.Topic)
		client.Checker.Count(response.Topic, response.Count, at, now, client.Calm())
	},
	session.Rejected: func(client *Client, now time.Time, response session.Response) {
		f, ok := rejectionHandlers[response.InReplyTo]
		if !ok || response.Err == nil {
			client.Checker.Violation(deliverycheck.Mixed, "%s was turned away with %q: %v", client.Name,
				response.InReplyTo, response.Err)
			return
		}
		f(client, now, response)
	},
	session.Moved: func(client *Client, now time.Time, response session.Response) {
		// The advice to come back to the same node tells that a subscription has ended.
		if client.Habits.IgnoresMoves && client.attached && response.Address != client.address {
			return
		}
		client.close(now, client.Habits.Keepalive/ticksPerKeepalive, false)
		client.redirect = response.Address
	},
}

var rejectionHandlers = map[session.Verb]func(client *Client, now time.Time, response session.Response){
	session.Attach: func(client *Client, now time.Time, _ session.Response) {
		client.close(now, client.Habits.Keepalive/2, false)
	},
	session.Count: func(client *Client, _ time.Time, response session.Response) { delete(client.counted, response.Topic) },
	session.Unsubscribe: func(client *Client, now time.Time, _ session.Response) {
		client.close(now, client.Habits.Keepalive/2, false)
	},
	session.Subscribe: func(client *Client, now time.Time, response session.Response) {
		sub := client.sub(response.Topic)
		if sub == nil || sub.state != subscribing {
			client.Checker.Violation(deliverycheck.Mixed, "%s was turned away from %s, which it did not ask: %v",
				client.Name, response.Topic, response.Err)
			return
		}
		sub.presence.Left(now)
		sub.presence = nil
		sub.state, sub.retry = idle, now.Add(client.span(client.Habits.Keepalive/2))
		switch {
		case apierror.HasCode(response.Err, apierror.CursorExpired):
			sub.session.Expired(now)
			sub.session = nil
		case apierror.HasCode(response.Err, apierror.CursorMalformed):
			client.Checker.Violation(deliverycheck.Mixed, "%s was told that its cursor %q of %s is bad: %v", client.Name,
				sub.cursor, sub.Name, response.Err)
		}
	},
	session.Withdraw: func(client *Client, now time.Time, response session.Response) {
		in, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil || sent.withdrawal == nil {
			return
		}
		sent.inFlight, sent.retry = false, now.Add(client.span(client.Habits.Keepalive/10))
		switch code := apierror.From(response.Err).Code; {
		case code == apierror.WithdrawalOpen:
			sent.withdrawal.Recorded(now)
		case FinalWithdrawalRejections[code]:
			sent.withdrawal.Void()
			in.messages = slices.DeleteFunc(in.messages, func(x *message) bool { return x == sent })
		}
	},
	session.Send: func(client *Client, now time.Time, response session.Response) {
		code := apierror.From(response.Err).Code
		if FinalRejections[code] {
			client.Checker.Rejected(deliverycheck.Message{Topic: response.Topic, From: client.Name, CallSeq: response.CallSeq})
		}
		in, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil {
			return
		}
		sent.inFlight, sent.retry = false, now.Add(client.span(client.Habits.Keepalive/10))
		if !FinalRejections[code] {
			return
		}
		in.messages = slices.DeleteFunc(in.messages, func(x *message) bool { return x == sent })
		if sent.fresh < freshly {
			in.messages = append(in.messages, &message{
				first: sent.first, retry: sent.retry, fresh: sent.fresh + 1, earlier: sent.call,
			})
		}
	},
}
