package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Outcome is the answer to one message of several: a decision or an error.
type Outcome struct {
	Decision *Decision       `json:"d,omitempty"`
	Err      *apierror.Error `json:"p,omitempty"`
}

// evaluation is what a message was found to be, before that is known to stand.
type evaluation struct {
	accepted  state.AcceptedCall
	duplicate bool
	// alreadyWithdrawn tells that the tombstone which a withdrawal asks for stood before.
	alreadyWithdrawn bool
	err              error
	// basis is the offset that a rejection, or alreadyWithdrawn, rests on.
	basis uint64
}

// finalCodes are those of rejections for good, which a retry with the same number meets again.
var finalCodes = map[apierror.Code]bool{
	apierror.CallAltered:   true,
	apierror.CallPassed:    true,
	apierror.CallForgotten: true,
	apierror.TokenFenced:   true,
	apierror.KeyUnknown:    true,
}

func (e evaluation) isRejectedForGood() bool {
	return e.err != nil && finalCodes[apierror.From(e.err).Code]
}

// needsLeadership reports whether the answer is final only once a majority confirmed the epoch.
func (e evaluation) needsLeadership() bool {
	return e.duplicate || e.alreadyWithdrawn || e.isRejectedForGood()
}

// requiredOffset returns the offset that must be committed before the answer is given.
func (e evaluation) requiredOffset() uint64 {
	if e.err == nil && !e.alreadyWithdrawn {
		return e.accepted.Offset
	}
	if e.alreadyWithdrawn || e.isRejectedForGood() {
		return e.basis
	}
	return 0
}

// label names the answer for a DecisionObserver.
func (e evaluation) label() string {
	switch {
	case e.duplicate:
		return "taken before"
	case e.alreadyWithdrawn:
		return "withdrawn before"
	}
	return "taken"
}

// SubmitMany decides on messages in their order and answers each, in that order, once all decisions
// are committed or failed. Duplicates and rejections for good share one leadership check, which
// runs while the new messages are written.
func (l *Leader) SubmitMany(ctx context.Context, messages []*Message) []Outcome {
	begun := l.options.Clock.Now()
	outcomes := make([]Outcome, len(messages))
	evaluations, err := l.evaluateAll(messages)
	if err != nil {
		for i := range outcomes {
			outcomes[i].Err = apierror.From(err)
		}
		return outcomes
	}
	checked := make(chan error, 1)
	if needsLeadership(evaluations) {
		go func() { checked <- l.checkLeadership(ctx) }()
	} else {
		checked <- nil
	}
	commitErrs := make([]error, len(evaluations))
	for i := range evaluations {
		commitErrs[i] = l.awaitCommit(ctx, log.KindInput, evaluations[i].requiredOffset())
	}
	checkErr := <-checked
	for i, evaluation := range evaluations {
		outcomes[i] = l.outcome(evaluation, commitErrs[i], checkErr, begun)
	}
	return outcomes
}

// evaluateAll decides on messages in their order; the error is why none can be decided on.
func (l *Leader) evaluateAll(messages []*Message) ([]evaluation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReady(); err != nil {
		return nil, err
	}
	evaluations := make([]evaluation, len(messages))
	for i, message := range messages {
		evaluation := l.evaluate(message)
		evaluation.basis = max(evaluation.basis, l.basisOffset(state.Key(message.Client, message.Topic)))
		if evaluation.duplicate {
			l.counters.Duplicates++
		}
		evaluations[i] = evaluation
	}
	return evaluations, nil
}

func needsLeadership(evaluations []evaluation) bool {
	for _, evaluation := range evaluations {
		if evaluation.needsLeadership() {
			return true
		}
	}
	return false
}

// outcome turns an evaluation into an answer, given whether what it rests on was committed, and the
// leadership confirmed.
func (l *Leader) outcome(e evaluation, commitErr, checkErr error, begun time.Time) Outcome {
	switch {
	case e.err != nil && !e.isRejectedForGood():
		return Outcome{Err: apierror.From(e.err)}
	case e.err != nil && commitErr != nil:
		return Outcome{Err: apierror.From(l.errBasisUncommitted(e.requiredOffset()))}
	case e.err != nil && checkErr != nil:
		return Outcome{Err: apierror.From(checkErr)}
	case e.err != nil:
		l.observeDecision("no: "+string(apierror.From(e.err).Code), begun)
		return Outcome{Err: apierror.From(e.err)}
	case commitErr != nil:
		return Outcome{Err: apierror.From(commitErr)}
	case (e.duplicate || e.alreadyWithdrawn) && checkErr != nil:
		return Outcome{Err: apierror.New(apierror.OutcomeUnknown,
			"call_seq %d was taken before at offset %d, and nobody confirmed it: %v",
			e.accepted.CallSeq, e.accepted.Offset, checkErr)}
	}
	l.observeDecision(e.label(), begun)
	return Outcome{Decision: &Decision{
		Partition:        l.Record.Partition,
		Epoch:            l.Record.Epoch,
		Offset:           e.accepted.Offset,
		Duplicate:        e.duplicate,
		AlreadyWithdrawn: e.alreadyWithdrawn,
	}}
}
