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
	client.line.Do(request)
}

// follow brings a topic to what is wanted of it; it tells whether the connection still stands.
func (client *Client) follow(now time.Time, sub *subscription) bool {
	if (sub.state == subscribing || sub.state == unsubscribing) && now.Sub(sub.since) > client.Habits.SubscribeTimeout {
		client.close(now, client.Habits.Keepalive/2, false)
		return false
	}
	switch {
	case sub.wanted && (sub.state == idle || sub.state == unsubscribed) && !now.Before(sub.retry):
		if sub.session == nil {
			sub.session = client.Checker.Subscribe(client.Name, sub.Name, sub.Kept)
			sub.cursor = ""
		}
		sub.state, sub.since = subscribing, now
		sub.presence = client.Checker.BeginPresence(sub.Name, now)
		client.send(now, session.Request{Verb: session.Subscribe, Topic: sub.Name, Cursor: sub.cursor})
	case !sub.wanted && sub.state == subscribed:
		sub.session.Ended(now)
		sub.presence.Left(now)
		sub.presence = nil
		sub.state, sub.since = unsubscribing, now
		client.send(now, session.Request{Verb: session.Unsubscribe, Topic: sub.Name})
	case !sub.wanted && sub.state == idle && sub.session != nil:
		sub.session.Ended(now)
		sub.session = nil
	}
	return true
}

func (client *Client) body(topic string, call uint64) string {
	return fmt.Sprintf("%s %s %d %s", client.Name, topic, call,
		strings.Repeat(string(rune('a'+call%26)), minBodyBytes+client.Rand.IntN(extraBodyBytes)))
}

func (client *Client) number() uint64 {
	client.lastCall += 1 + uint64(client.Rand.IntN(3))
	return client.lastCall
}

func (client *Client) publish(now time.Time, l *lane) bool {
	l.messages = slices.DeleteFunc(l.messages, func(m *message) bool {
		if m.withdrawal != nil {
			return now.Sub(m.first) > client.Habits.WithdrawTimeout
		}
		return now.Sub(m.first) > client.Habits.Deadline
	})
	withdrawing := slices.IndexFunc(l.messages, func(m *message) bool { return m.withdrawal != nil })
	if n := len(l.messages) - 1; (withdrawing < 0 && n+1 < l.Window || withdrawing >= 0 && n < l.Window) &&
		now.After(l.next) && client.sending.Err() == nil {
		l.next = client.later(now, l.Interval)
		l.messages = append(l.messages, &message{first: now})
	}
	if withdrawing < 0 && now.After(l.nextWithdrawal) && client.sending.Err() == nil {
		l.nextWithdrawal = client.later(now, client.Habits.WithdrawInterval)
		l.messages = append(l.messages, client.withdrawal(now, l.Topic))
	}
	slices.SortStableFunc(l.messages, func(a, b *message) int { return cmp.Compare(a.call-1, b.call-1) })
	for _, m := range l.messages {
		if m.inFlight {
			if now.Sub(m.asked) > client.Habits.ResponseTimeout {
				client.close(now, client.Habits.Keepalive/2, false)
				return false
			}
			continue
		}
		if now.Before(m.retry) {
			continue
		}
		m.inFlight, m.asked = true, now
		if w := m.withdrawal; w != nil {
			client.send(now, session.Request{Verb: session.Withdraw, Topic: l.Topic, CallSeq: m.call, Key: w.Key,
				WithdrawSender: w.Sender, WithdrawUpTo: w.UpTo})
			continue
		}
		if m.call == 0 {
			m.call = client.number()
			m.body = client.body(l.Topic, m.call)
			if client.Habits.KeyedFraction > 0 && client.Rand.Float64() < client.Habits.KeyedFraction {
				m.key = client.key()
			}
		}
		client.noteTry(now, l.Topic, m)
		client.send(now, session.Request{Verb: session.Send, Topic: l.Topic, CallSeq: m.call, Key: m.key,
			Body: []byte(m.body)})
	}
	return true
}

// noteTry has the checker note that a message is about to be sent, and under which number it was
// tried before.
func (client *Client) noteTry(now time.Time, topic string, m *message) {
	number := deliverycheck.Message{Topic: topic, From: client.Name, CallSeq: m.call}
	client.Checker.Try(number, m.key, m.body, now)
	if m.earlier != 0 {
		earlier := number
		earlier.CallSeq, m.earlier = m.earlier, 0
		client.Checker.Renumber(number, earlier)
	}
}

func (client *Client) key() string {
	return fmt.Sprintf("k%d", client.Rand.IntN(max(1, client.Habits.Keys)))
}

// withdrawal withdraws what stands under a key, at times with a sender that was seen on the topic
// and a number that it may not have reached.
func (client *Client) withdrawal(now time.Time, topic string) *message {
	w := deliverycheck.Withdrawal{Topic: topic, Key: client.key(), Client: client.Name, Call: client.number()}
	if m, ok := client.seen[topic]; ok && m.From != client.Name && client.Rand.IntN(othersOneIn) == 0 {
		w.Sender, w.UpTo = m.From, m.CallSeq+uint64(client.Rand.IntN(ahead))
	}
	return &message{call: w.Call, first: now, withdrawal: client.Checker.Withdraw(w, now)}
}
