package simclient

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"postjunction/internal/client/session"
	"postjunction/internal/testing/deliverycheck"
)

func (client *Client) send(now time.Time, request session.Request) {
	client.sentAt = now
	client.connection.Do(request)
}

// updateSubscription subscribes or unsubscribes as wanted. It reports whether the connection is
// still open.
func (client *Client) updateSubscription(now time.Time, sub *subscription) bool {
	if (sub.state == subscribing || sub.state == unsubscribing) && now.Sub(sub.since) > client.Habits.SubscribeTimeout {
		client.close(now, client.Habits.Keepalive/2, false)
		return false
	}
	switch {
	case sub.wanted && (sub.state == idle || sub.state == unsubscribed) && !now.Before(sub.retryAt):
		if sub.record == nil {
			sub.record = client.Checker.Subscribe(client.Name, sub.Name, sub.Retained)
			sub.cursor = ""
		}
		sub.state, sub.since = subscribing, now
		sub.presence = client.Checker.BeginPresence(sub.Name, now)
		client.send(now, session.Request{Verb: session.Subscribe, Topic: sub.Name, Cursor: sub.cursor})
	case !sub.wanted && sub.state == subscribed:
		sub.record.Ended(now)
		sub.presence.Left(now)
		sub.presence = nil
		sub.state, sub.since = unsubscribing, now
		client.send(now, session.Request{Verb: session.Unsubscribe, Topic: sub.Name})
	case !sub.wanted && sub.state == idle && sub.record != nil:
		sub.record.Ended(now)
		sub.record = nil
	}
	return true
}

func (client *Client) body(topic string, call uint64) string {
	return fmt.Sprintf("%s %s %d %s", client.Name, topic, call,
		strings.Repeat(string(rune('a'+call%26)), minBodyBytes+client.Rand.IntN(extraBodyBytes)))
}

func (client *Client) nextCall() uint64 {
	client.lastCall += 1 + uint64(client.Rand.IntN(3))
	return client.lastCall
}

// publish sends the messages and withdrawals of a sender that are due. It reports whether the
// connection is still open.
func (client *Client) publish(now time.Time, sender *sender) bool {
	sender.messages = slices.DeleteFunc(sender.messages, func(message *message) bool {
		if message.withdrawal != nil {
			return now.Sub(message.firstTriedAt) > client.Habits.WithdrawTimeout
		}
		return now.Sub(message.firstTriedAt) > client.Habits.Deadline
	})
	withdrawing := slices.IndexFunc(sender.messages, func(m *message) bool { return m.withdrawal != nil })
	if pending := len(sender.messages) - 1; (withdrawing < 0 && pending+1 < sender.Window || withdrawing >= 0 &&
		pending < sender.Window) && now.After(sender.next) && client.sendCtx.Err() == nil {
		sender.next = client.nextTime(now, sender.Interval)
		sender.messages = append(sender.messages, &message{firstTriedAt: now})
	}
	if withdrawing < 0 && now.After(sender.nextWithdrawal) && client.sendCtx.Err() == nil {
		sender.nextWithdrawal = client.nextTime(now, client.Habits.WithdrawInterval)
		sender.messages = append(sender.messages, client.newWithdrawal(now, sender.Topic))
	}
	// Messages without a number yet, which is 0 and wraps around here, come last.
	slices.SortStableFunc(sender.messages, func(a, b *message) int { return cmp.Compare(a.call-1, b.call-1) })
	for _, message := range sender.messages {
		if message.inFlight {
			if now.Sub(message.sentAt) > client.Habits.ResponseTimeout {
				client.close(now, client.Habits.Keepalive/2, false)
				return false
			}
			continue
		}
		if now.Before(message.retryAt) {
			continue
		}
		message.inFlight, message.sentAt = true, now
		if withdrawal := message.withdrawal; withdrawal != nil {
			client.send(now, session.Request{Verb: session.Withdraw, Topic: sender.Topic, CallSeq: message.call,
				Key: withdrawal.Key, WithdrawSender: withdrawal.Sender, WithdrawUpTo: withdrawal.UpTo})
			continue
		}
		if message.call == 0 {
			message.call = client.nextCall()
			message.body = client.body(sender.Topic, message.call)
			if client.Habits.KeyedFraction > 0 && client.Rand.Float64() < client.Habits.KeyedFraction {
				message.key = client.key()
			}
		}
		client.recordTry(now, sender.Topic, message)
		client.send(now, session.Request{Verb: session.Send, Topic: sender.Topic, CallSeq: message.call,
			Key: message.key, Body: []byte(message.body)})
	}
	return true
}

// recordTry records with the checker that a message is about to be sent, and under which number it
// was tried before.
func (client *Client) recordTry(now time.Time, topic string, message *message) {
	number := deliverycheck.Message{Topic: topic, From: client.Name, CallSeq: message.call}
	client.Checker.Try(number, message.key, message.body, now)
	if message.earlierCall != 0 {
		earlier := number
		earlier.CallSeq, message.earlierCall = message.earlierCall, 0
		client.Checker.Renumber(number, earlier)
	}
}

func (client *Client) key() string {
	return fmt.Sprintf("k%d", client.Rand.IntN(max(1, client.Habits.Keys)))
}

// newWithdrawal returns a withdrawal of a key. Some of them name a sender that was seen on the
// topic, with a number that the sender may not have reached yet.
func (client *Client) newWithdrawal(now time.Time, topic string) *message {
	withdrawal := deliverycheck.Withdrawal{Topic: topic, Key: client.key(), Client: client.Name,
		Call: client.nextCall()}
	if last, ok := client.lastReceived[topic]; ok && last.From != client.Name &&
		client.Rand.IntN(nameSenderOneIn) == 0 {
		withdrawal.Sender, withdrawal.UpTo = last.From, last.CallSeq+uint64(client.Rand.IntN(maxCallsAhead))
	}
	return &message{call: withdrawal.Call, firstTriedAt: now, withdrawal: client.Checker.Withdraw(withdrawal, now)}
}
