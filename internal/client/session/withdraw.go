package session

import (
	"context"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
	"postjunction/internal/partitionlog/leader"
)

const keyMost = 128

// keyed tells why a key can't be taken.
func (h *Registry) keyed(key string) error {
	if !plainName(key, keyMost) {
		return apierror.New(apierror.Malformed, "a key must be 1 to %d printable bytes without spaces", keyMost)
	}
	return h.Ledger.CheckKeysSupported()
}

func (v *Session) withdraw(t Request) error {
	sp, p, err := v.find(t.Topic)
	if err != nil {
		return err
	}
	if t.CallSeq == 0 {
		return apierror.New(apierror.Malformed, "call_seq must be above 0")
	}
	if (t.WithdrawSender != "") != (t.WithdrawUpTo > 0) || t.WithdrawSender != "" && !plainName(t.WithdrawSender, nameMost) {
		return apierror.New(apierror.Malformed, "a sender (of) and its highest number (upto, above 0) go together")
	}
	if err := v.h.keyed(t.Key); err != nil {
		return err
	}
	until := v.h.Clock.Now().Add(v.h.patience(sp))
	v.h.Ledger.SubmitAsync(v.h.ctx, p, &leader.Message{
		Client: v.name, Topic: t.Topic, CallSeq: t.CallSeq, Key: t.Key, Withdraw: true, WithdrawSender: t.WithdrawSender, WithdrawUpTo: t.WithdrawUpTo,
		Live: sp.Kind == configuration.KindLive, Configuration: v.h.Store.Index().Sequence,
	}, until, func(d *leader.Decision, err error) {
		if err != nil {
			v.turn(t, err)
			return
		}
		go v.forgotten(t, p, d, until)
	})
	return nil
}

// forgotten answers a withdrawal that stands once all who read messages with keys have read behind its mark, or says who has not when its time is over.
func (v *Session) forgotten(t Request, p int, d *leader.Decision, until time.Time) {
	a := Response{Type: WithdrawalComplete, Topic: t.Topic, CallSeq: t.CallSeq, Key: t.Key, AlreadyWithdrawn: d.AlreadyWithdrawn}
	for tries := 0; ; tries++ {
		u, err := v.h.unheard(p, d.Offset, until)
		if err == nil {
			a.GivenUp = u.GivenUp
			if len(u.Nodes) == 0 {
				v.out(a)
				return
			}
		}
		left := until.Sub(v.h.Clock.Now())
		if left > 0 && v.h.Clock.Sleep(v.h.ctx, min(left, v.h.Timing.Backoff(tries))) == nil {
			continue
		}
		a.Type, a.InReplyTo, a.AlreadyWithdrawn = Rejected, t.Verb, false
		if err != nil {
			a.Err = apierror.WithCause(apierror.WithdrawalOpen, err, "what stood under %s was withdrawn; who has forgotten it could not be learnt", t.Key)
		} else {
			a.Err = apierror.New(apierror.WithdrawalOpen, "what stood under %s was withdrawn; %s did not say that it is forgotten", t.Key, strings.Join(u.Nodes, ", "))
		}
		v.out(a)
		return
	}
}

// unheard asks once who has not read behind a mark, for as long as there is time, and a retry longer for the answer.
func (h *Registry) unheard(p int, offset uint64, until time.Time) (*leader.PendingReaders, error) {
	left := max(until.Sub(h.Clock.Now()), 0)
	cx, stop := context.WithTimeout(h.ctx, left+h.Timing.MaxBackoff())
	defer stop()
	return h.Ledger.PendingReaders(cx, p, offset, min(left, h.Timing.LongPoll()))
}
