package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Attach records an attachment of a client and returns its generation, which fences all before. A
// call with the same secret as the last one is a retry and gets the same generation. With given
// above 0, that is the generation, drawn in the partition of the client's other home; TokenFenced
// if a higher one is in force here.
func (l *Leader) Attach(ctx context.Context, client, secret string, given uint64) (uint64, error) {
	begun := l.options.Clock.Now()
	l.mu.Lock()
	if err := l.checkWritable(); err != nil {
		l.mu.Unlock()
		return 0, err
	}
	key := state.Key(client, "")
	calls := l.uncommittedCallsOf(key)
	last := max(l.state.Attachments[client].Generation, calls.generation)
	if given == 0 && l.isRepeatedAttach(client, calls, secret) {
		given = last
	}
	if given > 0 && given <= last {
		basis := l.basisOffset(key)
		l.mu.Unlock()
		return l.confirmAttach(ctx, client, given, last, basis)
	}
	generation := last + 1
	if given > 0 {
		generation = given
	}
	calls.generation, calls.secret = generation, secret
	entry := l.appendToLedger(log.Entry{
		Type: log.TypeAttach, Client: client, Generation: generation, Body: []byte(secret),
	})
	calls.offset = entry.Offset
	l.mu.Unlock()
	if err := l.awaitCommit(ctx, log.KindInput, entry.Offset); err != nil {
		return 0, err
	}
	l.observeDecision("attached", begun)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Attachments[client].Generation >= calls.generation && l.uncommitted[key] == calls {
		delete(l.uncommitted, key)
	}
	return generation, nil
}

// isRepeatedAttach reports whether the last attachment has the secret of this one: each attachment
// draws a secret of its own, so it is a retry. The lock is held.
func (l *Leader) isRepeatedAttach(client string, calls *uncommittedCalls, secret string) bool {
	attachment := l.state.Attachments[client]
	if calls.generation > attachment.Generation {
		return calls.secret == secret
	}
	return attachment.Generation > 0 && attachment.Secret == secret
}

// confirmAttach answers an attachment whose generation is not above the last one, once that one is
// known to stand.
func (l *Leader) confirmAttach(ctx context.Context, client string, given, last, basis uint64) (uint64, error) {
	if err := l.confirmCommitted(ctx, basis); err != nil {
		return 0, err
	}
	if given < last {
		return 0, apierror.New(apierror.TokenFenced, "attachment %d of %s took over from %d", last, client, given)
	}
	return given, nil
}

// Attachment returns the attachment in force and the cursor that the client saved, once a majority
// confirmed the epoch.
func (l *Leader) Attachment(ctx context.Context, client string) (state.Attachment, state.SavedCursor, error) {
	begun := l.options.Clock.Now()
	attachment, cursor, err := l.currentAttachment(client)
	if err == nil {
		err = l.checkLeadership(ctx)
	}
	if err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	l.observeDecision("vouched", begun)
	return attachment, cursor, nil
}

func (l *Leader) currentAttachment(client string) (state.Attachment, state.SavedCursor, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkMajorityOfMembers(); err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	if err := l.checkReadable(); err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	if err := l.options.CheckLease(); err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	return l.state.Attachments[client], l.state.SavedCursors[client], nil
}

// SaveCursor records the cursor that a client leaves; TokenFenced if an attachment of a higher
// generation is in force.
func (l *Leader) SaveCursor(ctx context.Context, client string, generation uint64, cursor string) error {
	l.mu.Lock()
	if err := l.checkWritable(); err != nil {
		l.mu.Unlock()
		return err
	}
	if current := l.state.Attachments[client].Generation; generation < current {
		l.mu.Unlock()
		if err := l.checkLeadership(ctx); err != nil {
			return err
		}
		return apierror.New(apierror.TokenFenced, "attachment %d of %s is in force", current, client)
	}
	entry := l.appendToLedger(log.Entry{
		Type: log.TypeCursor, Client: client, Generation: generation, Body: []byte(cursor),
	})
	l.mu.Unlock()
	return l.awaitCommit(ctx, log.KindInput, entry.Offset)
}

// Trace returns how far a client's calls on a topic have come, and one of them if its answer is
// still kept.
func (l *Leader) Trace(
	ctx context.Context, client, topic string, callSeq uint64,
) (calls state.AcceptedCalls, call state.AcceptedCall, kept bool, err error) {
	l.mu.Lock()
	if err := l.checkReadable(); err != nil {
		l.mu.Unlock()
		return calls, call, false, err
	}
	calls = l.state.Accepted[state.Key(client, topic)]
	l.mu.Unlock()
	call, kept = calls.Find(callSeq)
	return calls, call, kept, l.checkLeadership(ctx)
}
