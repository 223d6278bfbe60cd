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

// evaluation is the result of evaluating a message, before that result is known to be final.
type evaluation struct {
	accepted  state.AcceptedCall
	duplicate bool
	// alreadyWithdrawn is set if the tombstone that a withdrawal asks for existed before.
	alreadyWithdrawn bool
	err              error
	// dependency is the offset that a rejection, or alreadyWithdrawn, depends on.
	dependency uint64
}

// finalCodes are the codes of final rejections. A retry with the same number gets the same
// rejection.
var finalCodes = map[apierror.Code]bool{
	apierror.CallAltered:   true,
	apierror.CallPassed:    true,
	apierror.CallForgotten: true,
	apierror.TokenFenced:   true,
	apierror.KeyUnknown:    true,
}

func (e evaluation) isFinalRejection() bool {
	return e.err != nil && finalCodes[apierror.From(e.err).Code]
}

// needsLeadership reports whether the answer is final only once a majority has confirmed the epoch.
func (e evaluation) needsLeadership() bool {
	return e.duplicate || e.alreadyWithdrawn || e.isFinalRejection()
}

// requiredOffset returns the offset that must be committed before the answer is given.
func (e evaluation) requiredOffset() uint64 {
	if e.err == nil && !e.alreadyWithdrawn {
		return e.accepted.Offset
	}
	if e.alreadyWithdrawn || e.isFinalRejection() {
		return e.dependency
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

// SubmitMany evaluates messages in order and returns their outcomes in the same order, once each
// decision is committed or has failed. Duplicates and final rejections share one leadership check,
// which runs while the new messages are written.
func (l *Leader) SubmitMany(ctx context.Context, messages []*Message) []Outcome {
	startedAt := l.options.Clock.Now()
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
		outcomes[i] = l.outcome(evaluation, commitErrs[i], checkErr, startedAt)
	}
	return outcomes
}

// evaluateAll evaluates messages in order. Its error says why none of them can be evaluated.
func (l *Leader) evaluateAll(messages []*Message) ([]evaluation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReady(); err != nil {
		return nil, err
	}
	evaluations := make([]evaluation, len(messages))
	for i, message := range messages {
		evaluation := l.evaluate(message)
		evaluation.dependency = max(evaluation.dependency, l.dependencyOffset(state.Key(message.Client, message.Topic)))
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

// outcome turns an evaluation into an answer. commitErr is set if what the evaluation depends on
// was not committed, checkErr if the leadership was not confirmed.
func (l *Leader) outcome(result evaluation, commitErr, checkErr error, startedAt time.Time) Outcome {
	switch {
	case result.err != nil && !result.isFinalRejection():
		return Outcome{Err: apierror.From(result.err)}
	case result.err != nil && commitErr != nil:
		return Outcome{Err: apierror.From(l.errDependencyUncommitted(result.requiredOffset()))}
	case result.err != nil && checkErr != nil:
		return Outcome{Err: apierror.From(checkErr)}
	case result.err != nil:
		l.observeDecision("no: "+string(apierror.From(result.err).Code), startedAt)
		return Outcome{Err: apierror.From(result.err)}
	case commitErr != nil:
		return Outcome{Err: apierror.From(commitErr)}
	case (result.duplicate || result.alreadyWithdrawn) && checkErr != nil:
		return Outcome{Err: apierror.New(apierror.OutcomeUnknown,
			"call_seq %d was accepted before at offset %d, but the epoch was not confirmed: %v",
			result.accepted.CallSeq, result.accepted.Offset, checkErr)}
	}
	l.observeDecision(result.label(), startedAt)
	return Outcome{Decision: &Decision{
		Partition:        l.Record.Partition,
		Epoch:            l.Record.Epoch,
		Offset:           result.accepted.Offset,
		Duplicate:        result.duplicate,
		AlreadyWithdrawn: result.alreadyWithdrawn,
	}}
}
