package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Outcome is the answer to one message of several: a decision or a problem.
type Outcome struct {
	Decision *Decision       `json:"d,omitempty"`
	Err      *apierror.Error `json:"p,omitempty"`
}

type ruling struct {
	taken  state.AcceptedCall
	repeat bool
	// already tells that the mark which a withdrawal asks for stood before.
	already bool
	err     error
	basis   uint64
}

// told says what an answer was.
func (r ruling) told() string {
	switch {
	case r.repeat:
		return "taken before"
	case r.already:
		return "withdrawn before"
	}
	return "taken"
}

// SubmitMany decides on messages in their order and answers each, once all decisions are on a majority or failed. The verdicts stand in the order of the
// messages. Repeats and final noes share one question to a majority, which is asked while the new messages are written.
func (o *Leader) SubmitMany(ctx context.Context, qs []*Message) []Outcome {
	begun := o.d.Clock.Now()
	rs := make([]ruling, len(qs))
	ask := false
	o.mu.Lock()
	closed := o.ready()
	for i, q := range qs {
		r := &rs[i]
		if r.err = closed; closed != nil {
			continue
		}
		*r = o.judge(q)
		r.basis = max(r.basis, o.basis(state.Key(q.Client, q.Topic)))
		if r.repeat {
			o.tally.Duplicates++
		}
		ask = ask || r.repeat || r.already || r.err != nil && final[apierror.From(r.err).Code]
	}
	o.mu.Unlock()
	vs := make([]Outcome, len(qs))
	if closed != nil {
		for i := range vs {
			vs[i].Err = apierror.From(closed)
		}
		return vs
	}
	assured := make(chan error, 1)
	if ask {
		go func() { assured <- o.assure(ctx) }()
	} else {
		assured <- nil
	}
	landed := make([]error, len(rs))
	for i := range rs {
		landed[i] = o.await(ctx, log.KindLedger, rs[i].rests())
	}
	sure := <-assured
	for i, r := range rs {
		vs[i] = o.verdict(r, landed[i], sure, begun)
	}
	return vs
}

func (r ruling) rests() uint64 {
	if r.err == nil && !r.already {
		return r.taken.Offset
	}
	if r.already || final[apierror.From(r.err).Code] {
		return r.basis
	}
	return 0
}

func (o *Leader) verdict(r ruling, landed, sure error, begun time.Time) Outcome {
	switch {
	case r.err != nil && !final[apierror.From(r.err).Code]:
		return Outcome{Err: apierror.From(r.err)}
	case r.err != nil && landed != nil:
		return Outcome{Err: apierror.New(apierror.NotPartitionLeader, "an answer of partition %d rests on offset %d, which is not on a majority", o.Record.Partition, r.rests())}
	case r.err != nil && sure != nil:
		return Outcome{Err: apierror.From(sure)}
	case r.err != nil:
		o.say("no: "+string(apierror.From(r.err).Code), begun)
		return Outcome{Err: apierror.From(r.err)}
	case landed != nil:
		return Outcome{Err: apierror.From(landed)}
	case (r.repeat || r.already) && sure != nil:
		return Outcome{Err: apierror.New(apierror.OutcomeUnknown, "call_seq %d was taken before at offset %d, and nobody confirmed it: %v", r.taken.CallSeq, r.taken.Offset, sure)}
	}
	o.say(r.told(), begun)
	return Outcome{Decision: &Decision{Partition: o.Record.Partition, Epoch: o.Record.Epoch, Offset: r.taken.Offset, Duplicate: r.repeat, AlreadyWithdrawn: r.already}}
}
