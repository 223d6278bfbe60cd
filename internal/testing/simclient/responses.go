package simclient

import (
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
)

// FinalRejections are the errors that mean that a message was not accepted and never will be.
var FinalRejections = map[apierror.Code]bool{
	apierror.Overloaded: true, apierror.ShuttingDown: true, apierror.NoLease: true, apierror.NoPartitionLeader: true,
	apierror.CallPassed: true,
}

// FinalWithdrawalRejections are the errors that mean that nothing was withdrawn under a number and
// never will be.
var FinalWithdrawalRejections = map[apierror.Code]bool{apierror.KeyUnknown: true, apierror.CallPassed: true}

func (client *Client) subscription(topic string) *subscription {
	if i := slices.IndexFunc(client.subscriptions, func(s *subscription) bool { return s.Name == topic }); i >= 0 {
		return client.subscriptions[i]
	}
	return nil
}

func (client *Client) message(topic string, call uint64) (*sender, *message) {
	for _, sender := range client.senders {
		if sender.Topic != topic {
			continue
		}
		for _, message := range sender.messages {
			if message.call == call {
				return sender, message
			}
		}
	}
	return nil, nil
}

var responseHandlers = map[session.ResponseType]func(client *Client, now time.Time, response session.Response){
	session.Attached: func(client *Client, _ time.Time, _ session.Response) { client.attached = true },
	session.Alive:    func(*Client, time.Time, session.Response) {},
	session.Subscribed: func(client *Client, now time.Time, response session.Response) {
		sub := client.subscription(response.Topic)
		if sub == nil || sub.state != subscribing {
			client.Checker.Violation(deliverycheck.Mixed, "%s got a confirmation for %s, which it did not subscribe to",
				client.Name, response.Topic)
			return
		}
		sub.state = subscribed
		sub.record.Joined(now)
		sub.presence.Joined(now)
		if sub.cursor != "" && sub.cursor != response.Cursor && sub.Retained {
			client.Checker.Violation(deliverycheck.Mixed, "%s joined %s with cursor %q and got %q", client.Name,
				sub.Name, sub.cursor, response.Cursor)
		}
		sub.cursor = response.Cursor
	},
	session.Unsubscribed: func(client *Client, now time.Time, response session.Response) {
		sub := client.subscription(response.Topic)
		if sub == nil || sub.state != unsubscribing {
			client.Checker.Violation(deliverycheck.Mixed,
				"%s got an end of subscription for %s, which it did not request", client.Name, response.Topic)
			return
		}
		sub.state, sub.record, sub.cursor, sub.retryAt = unsubscribed, nil, "", now
	},
	session.Message: func(client *Client, now time.Time, response session.Response) {
		message := deliverycheck.Message{Topic: response.Topic, From: response.From, CallSeq: response.CallSeq}
		sub := client.subscription(response.Topic)
		if sub == nil || sub.state == idle || sub.state == unsubscribed {
			client.Checker.Stray(client.Name, message, now)
			return
		}
		if sub.state == unsubscribing {
			return
		}
		sub.record.Received(message, string(response.Body), deliverycheck.Position{Partition: response.Partition,
			Offset: response.Offset}, client.lastByteAt)
		client.lastReceived[response.Topic] = message
		sub.cursor = response.Cursor
		if client.Saved != nil && sub.Retained && client.Rand.IntN(saveCursorOneIn) == 0 {
			client.Saved(Topic{Name: sub.Name, Retained: true, Cursor: response.Cursor, LastMessage: message,
				GivenAt: now})
		}
	},
	session.Accepted: func(client *Client, now time.Time, response session.Response) {
		client.Checker.Accepted(deliverycheck.Message{Topic: response.Topic, From: client.Name,
			CallSeq: response.CallSeq}, now)
		if sender, sent := client.message(response.Topic, response.CallSeq); sent != nil {
			sender.messages = slices.DeleteFunc(sender.messages, func(other *message) bool { return other == sent })
		}
	},
	session.WithdrawalComplete: func(client *Client, now time.Time, response session.Response) {
		sender, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil {
			return
		}
		if sent.withdrawal == nil || sent.withdrawal.Key != response.Key {
			client.Checker.Violation(deliverycheck.Mixed,
				"%s got an acknowledgement for withdrawing %s of %s, %d, which it did not request", client.Name,
				response.Key, response.Topic, response.CallSeq)
			return
		}
		sent.withdrawal.Completed(deliverycheck.Position{Partition: response.Partition, Offset: response.Offset},
			client.lastByteAt)
		sender.messages = slices.DeleteFunc(sender.messages, func(other *message) bool { return other == sent })
	},
	session.Withdrawn: func(client *Client, now time.Time, response session.Response) {
		client.Checker.WithdrawalReceived(client.Name, response.Topic, response.Key, now)
	},
	session.Counted: func(client *Client, now time.Time, response session.Response) {
		requestedAt, ok := client.countsRequested[response.Topic]
		if !ok {
			client.Checker.Violation(deliverycheck.Mixed, "%s got a count of %s, which it did not request",
				client.Name, response.Topic)
			return
		}
		delete(client.countsRequested, response.Topic)
		client.Checker.Count(response.Topic, response.Count, requestedAt, now, client.Calm())
	},
	session.Rejected: func(client *Client, now time.Time, response session.Response) {
		handle, ok := rejectionHandlers[response.InReplyTo]
		if !ok || response.Err == nil {
			client.Checker.Violation(deliverycheck.Mixed, "%s got a rejection of %q: %v", client.Name,
				response.InReplyTo, response.Err)
			return
		}
		handle(client, now, response)
	},
	session.Moved: func(client *Client, now time.Time, response session.Response) {
		// The advice to reconnect to the same node means that a subscription has ended.
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
	session.Count: func(client *Client, _ time.Time, response session.Response) {
		delete(client.countsRequested, response.Topic)
	},
	session.Unsubscribe: func(client *Client, now time.Time, _ session.Response) {
		client.close(now, client.Habits.Keepalive/2, false)
	},
	session.Subscribe: func(client *Client, now time.Time, response session.Response) {
		sub := client.subscription(response.Topic)
		if sub == nil || sub.state != subscribing {
			client.Checker.Violation(deliverycheck.Mixed, "%s got a rejection of %s, which it did not subscribe to: %v",
				client.Name, response.Topic, response.Err)
			return
		}
		sub.presence.Left(now)
		sub.presence = nil
		sub.state, sub.retryAt = idle, now.Add(client.randomUpTo(client.Habits.Keepalive/2))
		switch {
		case apierror.HasCode(response.Err, apierror.CursorExpired):
			sub.record.Expired(now)
			sub.record = nil
		case apierror.HasCode(response.Err, apierror.CursorMalformed):
			client.Checker.Violation(deliverycheck.Mixed, "%s got its cursor %q of %s rejected as malformed: %v",
				client.Name, sub.cursor, sub.Name, response.Err)
		}
	},
	session.Withdraw: func(client *Client, now time.Time, response session.Response) {
		sender, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil || sent.withdrawal == nil {
			return
		}
		sent.inFlight, sent.retryAt = false, now.Add(client.randomUpTo(client.Habits.Keepalive/10))
		switch code := apierror.From(response.Err).Code; {
		case code == apierror.WithdrawalOpen:
			sent.withdrawal.Recorded(now)
		case FinalWithdrawalRejections[code]:
			sent.withdrawal.Void()
			sender.messages = slices.DeleteFunc(sender.messages, func(other *message) bool { return other == sent })
		}
	},
	session.Send: func(client *Client, now time.Time, response session.Response) {
		code := apierror.From(response.Err).Code
		if FinalRejections[code] {
			client.Checker.Rejected(deliverycheck.Message{Topic: response.Topic, From: client.Name,
				CallSeq: response.CallSeq})
		}
		sender, sent := client.message(response.Topic, response.CallSeq)
		if sent == nil {
			return
		}
		sent.inFlight, sent.retryAt = false, now.Add(client.randomUpTo(client.Habits.Keepalive/10))
		if !FinalRejections[code] {
			return
		}
		sender.messages = slices.DeleteFunc(sender.messages, func(other *message) bool { return other == sent })
		if sent.renumberings < maxRenumberings {
			sender.messages = append(sender.messages, &message{
				firstTriedAt: sent.firstTriedAt, retryAt: sent.retryAt, renumberings: sent.renumberings + 1,
				earlierCall: sent.call})
		}
	},
}
