package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Attach records an attachment of a client and returns its generation, which fences all earlier
// attachments. A call with the secret of the last attachment is a retry and gets the same
// generation. If assigned is above 0, it is the generation, which the client's other home has
// assigned already. Attach returns TokenFenced if a higher generation is in force here.
func (l *Leader) Attach(ctx context.Context, client, secret string, assigned uint64) (uint64, error) {
	startedAt := l.options.Clock.Now()
	l.mu.Lock()
	if err := l.checkWritable(); err != nil {
		l.mu.Unlock()
		return 0, err
	}
	key := state.Key(client, "")
	calls := l.uncommittedCallsOf(key)
	last := max(l.state.Attachments[client].Generation, calls.generation)
	if assigned == 0 && l.isAttachRetry(client, calls, secret) {
		assigned = last
	}
	if assigned > 0 && assigned <= last {
		dependency := l.dependencyOffset(key)
		l.mu.Unlock()
		return l.confirmAttach(ctx, client, assigned, last, dependency)
	}
	generation := last + 1
	if assigned > 0 {
		generation = assigned
	}
	calls.generation, calls.secret = generation, secret
	entry := l.appendToPartitionLog(log.Entry{
		Type: log.TypeAttach, Client: client, Generation: generation, Body: []byte(secret),
	})
	calls.offset = entry.Offset
	l.mu.Unlock()
	if err := l.awaitCommit(ctx, log.KindInput, entry.Offset); err != nil {
		return 0, err
	}
	l.observeDecision("attached", startedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Attachments[client].Generation >= calls.generation && l.uncommitted[key] == calls {
		delete(l.uncommitted, key)
	}
	return generation, nil
}

// isAttachRetry reports whether the last attachment has the same secret as this one. Each
// attachment draws its own secret, so the same secret means a retry. l.mu must be held.
func (l *Leader) isAttachRetry(client string, calls *uncommittedCalls, secret string) bool {
	attachment := l.state.Attachments[client]
	if calls.generation > attachment.Generation {
		return calls.secret == secret
	}
	return attachment.Generation > 0 && attachment.Secret == secret
}

// confirmAttach answers an attachment whose generation is not above the last one, once the last one
// is committed and the leadership is confirmed.
func (l *Leader) confirmAttach(ctx context.Context, client string, assigned, last, dependency uint64) (uint64, error) {
	if err := l.confirmCommitted(ctx, dependency); err != nil {
		return 0, err
	}
	if assigned < last {
		return 0, apierror.New(apierror.TokenFenced, "attachment %d of %s replaced %d", last, client, assigned)
	}
	return assigned, nil
}

// Attachment returns the attachment in force and the client's saved cursor, once a majority has
// confirmed the epoch.
func (l *Leader) Attachment(ctx context.Context, client string) (state.Attachment, state.SavedCursor, error) {
	startedAt := l.options.Clock.Now()
	attachment, cursor, err := l.currentAttachment(client)
	if err == nil {
		err = l.checkLeadership(ctx)
	}
	if err != nil {
		return state.Attachment{}, state.SavedCursor{}, err
	}
	l.observeDecision("vouched", startedAt)
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

// SaveCursor records the cursor of a client. It returns TokenFenced if an attachment of a higher
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
	entry := l.appendToPartitionLog(log.Entry{
		Type: log.TypeCursor, Client: client, Generation: generation, Body: []byte(cursor),
	})
	l.mu.Unlock()
	return l.awaitCommit(ctx, log.KindInput, entry.Offset)
}

// CallStatus returns how far a client's calls on a topic have come, and the call with the given
// number if its answer is still available.
func (l *Leader) CallStatus(
	ctx context.Context, client, topic string, callSeq uint64,
) (calls state.AcceptedCalls, call state.AcceptedCall, found bool, err error) {
	l.mu.Lock()
	if err := l.checkReadable(); err != nil {
		l.mu.Unlock()
		return calls, call, false, err
	}
	calls = l.state.Accepted[state.Key(client, topic)]
	l.mu.Unlock()
	call, found = calls.Find(callSeq)
	return calls, call, found, l.checkLeadership(ctx)
}
