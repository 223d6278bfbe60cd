package leader

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// A withdrawn message is skipped. A message written later under the same key is not. An uncommitted
// withdrawal has no effect yet.
func TestPoll_WithdrawnMessagesAreSkipped(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"), message("v", 2, "t", "other"), message("v", 1, "u", "k"))
		r.follow("a1", "b", "t", "u")
		r.becomeReader("a1", "b", 0)
		go r.SubmitMany(t.Context(), []*Message{withdrawal("v", 3, "t", "k")})
		synctest.Wait()
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{1, 2, 3})
		r.commitAll()
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{2, 3, 5})
		r.submitAccepted(message("v", 4, "t", "k"))
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{2, 3, 5, 6})
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true,
			After: map[string]uint64{"t": 0},
		})
		assert.NilError(t, err)
		assert.DeepEqual(t, offsets(response.Backlog), []uint64{2, 5, 6})
		withdrawn := response.Backlog[1]
		assert.Equal(
			t, [...]string{withdrawn.Type, withdrawn.Topic, withdrawn.Key, withdrawn.Client},
			[...]string{log.TypeWithdrawal, "t", "k", "v"},
		)
	})
}

// A withdrawal is sent at once to a node that follows other topics. It is not sent to a node that
// tracks no tombstones.
func TestPoll_WithdrawalWakesEveryFollower(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "u")
		results := r.poll("a1", "b", 1)
		_, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a2", BootID: "b", Sequence: 1, Full: true, Topics: map[string]int{"t": 1},
		})
		assert.NilError(t, err)
		untrackedPoll := r.startPoll(t.Context(), 1)
		startedAt := time.Now()
		assert.Equal(t, r.submitAccepted(withdrawal("w", 1, "t", "k")), uint64(2))
		polled := <-results
		assert.NilError(t, polled.err)
		assert.DeepEqual(t, offsets(polled.response.Entries), []uint64{2})
		assert.Assert(t, time.Since(startedAt) == 0, "woken after %s", time.Since(startedAt))
		assert.Equal(t, polled.response.Entries[0].Client, "w")
		assert.NilError(t, <-untrackedPoll)
		response, err := r.Poll(t.Context(), &PollRequest{Node: "a2", BootID: "b", Sequence: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Entries), 0, "a node that tracks no tombstones is sent nothing with a key")
		r.submitAccepted(message("v", 2, "t", "k"))
		response, err = r.Poll(t.Context(), &PollRequest{Node: "a2", BootID: "b", Sequence: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(response.Entries), 0)
		assert.Equal(t, response.To, uint64(3), "messages with keys don't delay it")
		assert.Equal(t, len(r.state.Readers), 0, "no node was sent a message with a key")
	})
}

// A node is sent its first message with a key only after it is committed that its run is a reader.
// Messages before that one are not delayed.
func TestReader_CommittedBeforeItIsGivenAKey(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", ""), message("v", 2, "t", "k"), message("v", 3, "t", ""))
		r.follow("a1", "b", "t")
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 0)), []uint64{1})
		results := r.poll("a1", "b", 1)
		assert.Equal(t, len(r.state.Readers), 0)
		assert.Equal(t, len(results), 0)
		r.commitAll()
		assert.DeepEqual(t, r.polledOffsets(results), []uint64{2, 3})
		assert.Equal(t, r.state.Readers["a1"], state.Reader{BootID: "b", Offset: 4})
		assert.DeepEqual(t, r.observed, []string{"a1 b"})
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "b", 1)), []uint64{2, 3})
		assert.Equal(t, r.logs[log.KindInput].last.Offset, uint64(4), "a run is recorded once")

		answers := make(chan *FollowResponse, 1)
		go func() {
			response, _ := r.Follow(t.Context(), &FollowRequest{
				Node: "a1", BootID: "c", Sequence: 1, Full: true, TracksTombstones: true,
				Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 1},
				ReaderToken: r.readerToken("a1", "c"),
			})
			answers <- response
		}()
		synctest.Wait()
		assert.Equal(t, len(answers), 0)
		r.commitAll()
		assert.DeepEqual(t, offsets((<-answers).Backlog), []uint64{2, 3})
		assert.Equal(t, r.state.Readers["a1"], state.Reader{BootID: "c", Offset: 5, ReplacedBootID: "b"})
		results = r.poll("a1", "b", 9)
		assert.Assert(t, (<-results).response.UnknownFollower, "the earlier run is no reader any more")
	})
}

// A node that became a reader is notified of that, even if the message that made it a reader was
// withdrawn before it was sent.
func TestReader_LearnsThatItIsOne(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		results := r.poll("a1", "b", 0)
		r.submitAccepted(withdrawal("v", 2, "t", "k"))
		polled := <-results
		assert.NilError(t, polled.err)
		assert.Assert(
			t,
			!slices.ContainsFunc(polled.response.Entries, func(entry log.Entry) bool {
				return entry.Type == log.TypeMessage
			}),
		)
		assert.Equal(t, r.state.Readers["a1"].BootID, "b")
		assert.Assert(t, polled.response.IsReader)
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true,
			Topics: map[string]int{"t": 0},
		})
		assert.NilError(t, err)
		assert.Assert(t, response.IsReader)
		r.follow("a2", "b", "t")
		assert.Assert(t, !r.isReader("a2", "b"))
	})
}

// A late call of a run that was replaced by another run neither makes the earlier run a reader
// again nor finishes the other run.
func TestReader_LateCallOfReplacedRunIsRejected(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		r.follow("a1", "c", "t")
		r.commitAll()
		r.becomeReader("a1", "c", 0)
		for _, finished := range []bool{false, true} {
			response, err := r.Follow(t.Context(), &FollowRequest{
				Node: "a1", BootID: "b", Sequence: 9, Full: true, Finished: finished, TracksTombstones: true,
				Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0},
			})
			assert.NilError(t, err)
			assert.Assert(t, response.UnknownFollower)
			r.commitAll()
			assert.Equal(t, r.state.Readers["a1"].BootID, "c")
		}
		polled := <-r.poll("a1", "b", 0)
		assert.NilError(t, polled.err)
		assert.Assert(t, polled.response.UnknownFollower)
	})
}

// Late calls of runs before the last one replace nothing, and calls of the present run are still
// answered. The same applies to a leader that knows none of the runs, and after the last run has
// finished.
func TestReader_LateCallOfAnyEarlierRunIsRejected(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		for _, bootID := range []string{"b", "c", "d"} {
			r.follow("a1", bootID, "t")
			r.commitAll()
			r.becomeReader("a1", bootID, 0)
		}
		late := func(bootID string, token uint64) {
			t.Helper()
			for _, sent := range []uint64{0, token} {
				response, err := r.Follow(t.Context(), &FollowRequest{
					Node: "a1", BootID: bootID, Sequence: 90 + sent, Full: true, TracksTombstones: true,
					Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}, ReaderToken: sent,
				})
				assert.NilError(t, err)
				assert.Assert(t, response.UnknownFollower && len(response.Backlog) == 0)
				polled, err := r.Poll(t.Context(), &PollRequest{
					Node: "a1", BootID: bootID, Sequence: 1, TracksTombstones: true, ReaderToken: sent,
				})
				assert.NilError(t, err)
				assert.Equal(t, len(polled.Entries), 0)
				r.commitAll()
			}
		}
		late("b", 1)
		assert.Equal(t, r.state.Readers["a1"].BootID, "d")
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "d", 0)), []uint64{1})

		lastToken := r.readerToken("a1", "d")
		r.locked(func() {
			r.followers, r.Leader.readerTokens, r.lastReaderToken, r.Record.Epoch = map[string]*follower{}, map[string]readerToken{}, 0, r.Record.Epoch+1
		})
		late("b", lastToken)
		late("c", lastToken)
		assert.Equal(t, r.state.Readers["a1"].BootID, "d")
		r.follow("a1", "d", "t")
		assert.DeepEqual(t, r.polledOffsets(r.poll("a1", "d", 0)), []uint64{1})

		lastToken = r.readerToken("a1", "d")
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "d", Sequence: 99, Full: true, TracksTombstones: true, Finished: true,
		})
		assert.NilError(t, err)
		assert.Assert(t, !response.UnknownFollower)
		r.commitAll()
		r.locked(func() { r.followers = map[string]*follower{} })
		late("d", lastToken)
		late("b", lastToken)
		late("d", lastToken)
		assert.Equal(t, len(r.state.Readers), 0)
	})
}

// A leader that can't commit any more makes no node a reader.
func TestReader_SupersededLeaderAddsNone(t *testing.T) {
	withLeader(t, 3, func(t *testing.T, r *rig) {
		r.submitOnce(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		results := r.poll("a1", "b", 0)
		r.commitAll()
		assert.DeepEqual(t, r.polledOffsets(results), []uint64{})
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, err := r.Follow(ctx, &FollowRequest{
			Node: "a2", BootID: "b", Sequence: 1, Full: true, TracksTombstones: true,
			After: map[string]uint64{"t": 0}, ReaderToken: r.readerToken("a2", "b"),
		})
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		assert.Equal(t, len(r.state.Readers), 0)
	})
}

// No reader is pending once every reader has read past the tombstone, under its boot ID. Until then
// the pending ones are named.
func TestPendingReaders_WaitsForAllReaders(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.follow("a2", "b", "t")
		r.becomeReader("a1", "b", 0)
		r.becomeReader("a2", "b", 0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		startedAt := time.Now()
		pending, err := r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending.Nodes, []string{"a1", "a2"})
		assert.Equal(t, time.Since(startedAt), r.options.Timing.LongPoll())
		r.poll("a1", "b", offset-1)
		r.poll("a2", "b", offset)
		r.poll("a1", "c", offset)
		pending, err = r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending.Nodes, []string{"a1"})
		answered := make(chan *PendingReaders, 1)
		go func() {
			pending, _ := r.pendingReadersAt(offset)
			answered <- pending
		}()
		synctest.Wait()
		startedAt = time.Now()
		assert.Equal(t, r.submitAccepted(message("v", 3, "t", "k")), offset+1, "other messages are not delayed meanwhile")
		r.poll("a1", "b", offset)
		assert.DeepEqual(t, <-answered, &PendingReaders{})
		assert.Equal(t, time.Since(startedAt), time.Duration(0))
	})
}

// A leader that may have been superseded never answers that no reader is pending, because another
// leader may have added one.
func TestPendingReaders_NoneOnlyWithLeadershipConfirmed(t *testing.T) {
	withLeader(t, 3, func(t *testing.T, r *rig) {
		r.submitOnce(message("v", 1, "t", "k"))
		_, err := r.pendingReadersAt(1)
		assert.Assert(t, apierror.HasCode(err, apierror.NotPartitionLeader), "%v", err)
	})
	withLeader(t, 1, func(t *testing.T, r *rig) {
		_, err := r.pendingReadersAt(1)
		assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "%v", err)
		pending, err := r.pendingReadersAt(0)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending, &PendingReaders{})
		assert.Equal(t, r.counters.QuorumChecks, uint64(1))
	})
}
