package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/samza/state"
)

// A reader that is silent and not a member for the reader timeout is given up, if it delays the
// removal of a tombstone. It learns this when it calls again, and may read under another boot ID.
func TestReader_GivenUpWhenSilentAndNoMember(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		maintain := func(duration time.Duration) {
			for range duration / (2 * time.Second) {
				time.Sleep(2 * time.Second)
				r.locked(r.giveUpReaders)
				r.commitAll()
			}
		}
		delete(r.members, "a1")
		maintain(2 * r.readerTimeout())
		assert.Assert(t, !r.state.Readers["a1"].GivenUp, "it delays no tombstone")
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.members["a1"] = "at-a1"
		maintain(2 * r.readerTimeout())
		assert.Assert(t, !r.state.Readers["a1"].GivenUp, "it is a member")
		delete(r.members, "a1")
		maintain(r.readerTimeout() - 4*time.Second)
		assert.Assert(t, !r.state.Readers["a1"].GivenUp, "the timeout has not passed")
		maintain(8 * time.Second)
		assert.Assert(t, r.state.Readers["a1"].GivenUp)
		assert.DeepEqual(t, r.observed, []string{"a1 b", "a1 b given up"})
		assert.Equal(t, r.counters.ReadersGivenUp, uint64(1))
		pending, err := r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending, &PendingReaders{GivenUp: []string{"a1"}})

		polled := <-r.poll("a1", "b", 0)
		assert.Assert(
			t,
			polled.response.MustReset && polled.response.UnknownFollower && len(polled.response.Entries) == 0,
		)
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", Sequence: 7, Full: true, TracksTombstones: true,
			Topics: map[string]int{"t": 1},
		})
		assert.NilError(t, err)
		assert.Assert(t, response.MustReset && response.UnknownFollower)
		r.follow("a1", "b+1", "t")
		r.commitAll()
		assert.DeepEqual(t, r.state.Readers["a1"].BootID, "b+1")
		assert.Assert(t, !(<-r.poll("a1", "b+1", 0)).response.MustReset)
	})
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.locked(func() { r.writeReader("a1", state.ReaderEntry{BootID: "b", GivenUp: true}) })
		r.commitAll()
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, Finished: true,
		})
		assert.NilError(t, err)
		assert.Assert(t, !response.MustReset)
		r.commitAll()
		assert.Equal(t, len(r.state.Readers), 0, "a run that dropped everything is no reader")
	})
}

// A reader that finished is removed, and late calls of it don't add it again. Its next run may be a
// reader again.
func TestReader_FinishedIsRemoved(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		late := r.poll("a1", "b", 3)
		response, err := r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, Finished: true,
		})
		assert.NilError(t, err)
		assert.Assert(t, !response.UnknownFollower)
		assert.Equal(t, len(r.state.Readers), 1, "not committed yet")
		nextRequest := &FollowRequest{
			Node: "a1", BootID: "b", BaseSequence: 2, Sequence: 3, TracksTombstones: true,
			Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0},
			ReaderToken: r.readerToken("a1", "b"),
		}
		response, err = r.Follow(t.Context(), nextRequest)
		assert.NilError(t, err)
		assert.Assert(t, response.UnknownFollower, "a finished run must continue under another boot ID")
		responses := make(chan *FollowResponse, 1)
		go func() {
			response, _ := r.Follow(t.Context(), &FollowRequest{
				Node: "a1", BootID: "c", Sequence: 1, Full: true, TracksTombstones: true,
				Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0},
				ReaderToken: r.readerToken("a1", "c"),
			})
			responses <- response
		}()
		synctest.Wait()
		assert.Equal(t, len(responses), 0, "the removal is uncommitted, so it is sent nothing")
		r.submitAccepted(message("v", 2, "t", "k"))
		r.commitAll()
		r.commitAll()
		assert.DeepEqual(t, offsets((<-responses).Backlog), []uint64{1, 4})
		assert.Equal(t, r.state.Readers["a1"].Offset, uint64(5))
		polled := <-late
		assert.Assert(t, polled.response.UnknownFollower, "a poll from before it finished is not answered")
		_, err = r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "c", Sequence: 4, Full: true, Finished: true})
		assert.NilError(t, err)
		r.commitAll()
		assert.Equal(t, len(r.state.Readers), 0)
		response, err = r.Follow(t.Context(), &FollowRequest{
			Node: "a1", BootID: "c", Sequence: 2, Full: true, TracksTombstones: true,
			Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0},
			ReaderToken: r.readerToken("a1", "c"),
		})
		assert.NilError(t, err)
		assert.Assert(t, response.UnknownFollower, "a request from before it finished is not answered")
	})
}

// A silent reader whose node answers with another boot ID is removed.
func TestReader_OfAnEarlierRunIsRemoved(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.follow("a1", "b", "t")
		r.becomeReader("a1", "b", 0)
		r.follow("a2/streams", "b.1", "t")
		r.becomeReader("a2/streams", "b.1", 0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.locked(func() { r.writeReader("a2/streams", state.ReaderEntry{BootID: "b.1", GivenUp: true}) })
		r.commitAll()
		maintain := func() {
			time.Sleep(r.options.Timing.SessionTimeout() + time.Second)
			r.locked(r.giveUpReaders)
			synctest.Wait()
			r.commitAll()
		}
		r.bootIDs["at-a1"], r.bootIDs["at-a2"] = "b", "b"
		maintain()
		assert.Equal(t, len(r.state.Readers), 2, "their nodes still run under the same boot IDs")
		r.bootIDs["at-a1"] = "c"
		maintain()
		assert.Equal(t, len(r.state.Readers), 1)
		r.bootIDs["at-a2"] = "c"
		maintain()
		assert.Equal(t, len(r.state.Readers), 0)
		pending, err := r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending, &PendingReaders{})
	})
}

// A token of another epoch is invalid.
func TestReaderToken_OfAnotherEpochIsInvalid(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		token := r.readerToken("a1", "b")
		r.locked(func() {
			r.Leader.readerTokens, r.lastReaderToken, r.Record.Epoch = map[string]readerToken{}, 0, r.Record.Epoch+1
		})
		r.locked(func() {
			_, ok := r.readerTokenOf("a1", "b", token)
			assert.Assert(t, !ok)
		})
	})
}
