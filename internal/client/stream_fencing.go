package client

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/client/token"
	"postjunction/internal/partitionlog/log"
)

// watchAttachment follows the feed that gets newer attachments, and only then reads the current
// attachment, so that none is missed in between.
func (st *subscriptionStream) watchAttachment(ctx context.Context, identity token.Token, urgent bool) error {
	feed, leave, err := st.service.Feeds.Follow(ctx, st.service.Router.HomePartition(identity.Client, urgent), st.wake)
	if err != nil {
		return err
	}
	st.leaveFuncs = append(st.leaveFuncs, leave)
	st.attachFeed, st.attachOffset = feed, feed.CommittedEnd()
	return st.service.identify(ctx, st.request, identity, urgent)
}

// checkAttachment returns an error once the client has a newer attachment.
func (st *subscriptionStream) checkAttachment(ctx context.Context) error {
	if st.isChecking {
		select {
		case err := <-st.attachChecks:
			st.isChecking = false
			if apierror.HasCode(err, apierror.TokenFenced) {
				return err
			}
		default:
			return nil
		}
	}
	for {
		window, ok := st.attachFeed.Cached(st.attachOffset)
		if !ok {
			st.recheckAttachment(ctx)
			return nil
		}
		if len(window.Entries) == 0 {
			return nil
		}
		for _, entry := range window.Entries {
			st.attachOffset = max(st.attachOffset, entry.Offset)
			isOwn := entry.Type == log.TypeAttach && entry.Client == st.request.Client
			if isOwn && entry.Generation > st.request.identity.Generation {
				return st.errFenced(entry.Generation)
			}
		}
	}
}

// recheckAttachment reads the current attachment in another goroutine, after the feed dropped
// entries that this stream had not read.
func (st *subscriptionStream) recheckAttachment(ctx context.Context) {
	st.isChecking = true
	st.attachOffset = st.attachFeed.CommittedEnd()
	identity := st.request.identity
	urgent := slices.ContainsFunc(st.readers, func(reader reader) bool { return reader.isUrgent })
	go func() {
		err := error(apierror.New(apierror.NoPartitionLeader, "the attachment was not read yet"))
		for err != nil && ctx.Err() == nil {
			callCtx, cancel := context.WithTimeout(ctx, callTimeouts*st.service.Timing.CallTimeout())
			attachment, callErr := st.service.Router.ReadAttachment(
				callCtx, identity.Client, identity.Generation, urgent,
			)
			cancel()
			if err = callErr; err == nil && attachment.Attachment.Generation > identity.Generation {
				err = st.errFenced(attachment.Attachment.Generation)
				break
			}
			if err != nil {
				_ = st.service.Clock.Sleep(ctx, st.service.Timing.MaxBackoff())
			}
		}
		st.attachChecks <- err
		st.signal()
	}()
}

func (st *subscriptionStream) errFenced(generation uint64) error {
	return apierror.New(apierror.TokenFenced, "attachment %d of %s took over", generation, st.request.Client)
}
