package leader

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// A retried withdrawal gets the same answer. Another message under its number is rejected as
// altered. A withdrawal of a key without a message is rejected.
func TestWithdrawal_Answers(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		r.expectRejected(withdrawal("v", 2, "t", "other"), apierror.KeyUnknown)
		r.expectRejected(withdrawal("v", 2, "u", "k"), apierror.KeyUnknown)
		assert.Equal(
			t, r.counters.QuorumChecks, uint64(2),
			"key_unknown is answered only after a majority has confirmed the epoch",
		)
		assert.Equal(t, r.submitAccepted(withdrawal("v", 2, "t", "k")), uint64(2))
		outcome := r.submit(withdrawal("v", 2, "t", "k"))[0]
		assert.DeepEqual(t, outcome.Decision, &Decision{Epoch: 1, Offset: 2, Duplicate: true})
		for _, rejected := range []*Message{
			withdrawal("v", 2, "t", "l"), message("v", 2, "t", "k"), message("v", 2, "t", ""),
			{Client: "v", CallSeq: 2, Topic: "t", Key: "k", Withdraw: true, WithdrawSender: "w", WithdrawUpTo: 3},
			message("v", 1, "t", "l"), message("v", 1, "t", ""),
		} {
			r.expectRejected(rejected, apierror.CallAltered)
		}
		outcome = r.submit(withdrawal("w", 1, "t", "k"))[0]
		assert.DeepEqual(t, outcome.Decision, &Decision{Epoch: 1, Offset: 3, AlreadyWithdrawn: true})
		assert.DeepEqual(
			t,
			r.submit(message("w", 2, "t", "k"), withdrawal("w", 3, "t", "k"), withdrawal("x", 1, "t", "k"))[2].Decision,
			&Decision{Epoch: 1, Offset: 6, AlreadyWithdrawn: true},
		)
		assert.DeepEqual(
			t, r.submit(message("w", 4, "t", "k"), withdrawal("x", 1, "t", "k"))[1].Decision,
			&Decision{Epoch: 1, Offset: 6, Duplicate: true},
		)
		assert.Assert(t, !r.state.IsWithdrawn(log.Entry{Topic: "t", Key: "k", Offset: 7}))
		r.expectRejected(message("v", 1, "t", ""), apierror.CallAltered)
		for _, rejected := range []*Message{
			withdrawal("v", 9, "t", ""), message("v", 9, "t", "a\x1fb"),
			message("v", 9, "t", strings.Repeat("k", 129)),
			{Client: "v", CallSeq: 9, Topic: "t", WithdrawSender: "w", WithdrawUpTo: 1},
			{Client: "v", CallSeq: 9, Topic: "t", Key: "k", Withdraw: true, WithdrawSender: "w"},
			{Client: "v", CallSeq: 9, Topic: "t", Key: "k", Withdraw: true, Body: []byte("b")},
		} {
			r.expectRejected(rejected, apierror.Malformed)
		}
		r.submitAccepted(message("v", 9, "t", strings.Repeat("k", 128)))
		assert.Equal(t, r.View().Tombstones, 1)
		assert.Equal(t, r.View().Counters.Withdrawals, uint64(4))
	})
}

// The answer that a tombstone existed already is given only once that tombstone is committed and no
// other leader can have decided since.
func TestWithdrawal_AlreadyWithdrawnWaitsForTheTombstone(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		outcomes := make(chan []Outcome, 2)
		go func() { outcomes <- r.SubmitMany(t.Context(), []*Message{withdrawal("v", 2, "t", "k")}) }()
		synctest.Wait()
		go func() { outcomes <- r.SubmitMany(t.Context(), []*Message{withdrawal("w", 1, "t", "k")}) }()
		synctest.Wait()
		assert.Equal(t, len(outcomes), 0)
		r.commitAll()
		offsets := []uint64{(<-outcomes)[0].Decision.Offset, (<-outcomes)[0].Decision.Offset}
		slices.Sort(offsets)
		assert.DeepEqual(t, offsets, []uint64{2, 3})
	})
	withLeader(t, 3, func(t *testing.T, r *rig) {
		r.submitOnce(message("v", 1, "t", "k"))
		r.state.Apply(log.Entry{Type: log.TypeWithdrawal, Offset: 1, Topic: "t", Client: "v", CallSeq: 2, Key: "l"})
		outcome := r.SubmitMany(t.Context(), []*Message{withdrawal("w", 1, "t", "m")})
		assert.Equal(t, outcome[0].Err.Code, apierror.NotPartitionLeader)
	})
}

// From the withdrawal on, call numbers of the named sender up to the given one are never accepted.
// Calls that were accepted before stay accepted.
func TestWithdrawal_PassesTheNamedSendersNumbers(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		senderWithdrawal := withdrawal("w", 1, "t", "k")
		senderWithdrawal.WithdrawSender, senderWithdrawal.WithdrawUpTo = "v", 5
		outcomes := r.submit(
			message("v", 2, "t", "k"), senderWithdrawal, message("v", 4, "t", "k"), message("v", 2, "t", "k"),
			message("v", 6, "t", "k"), message("v", 5, "u", "k"),
		)
		assert.Equal(t, outcomes[2].Err.Code, apierror.CallPassed)
		assert.Assert(t, outcomes[3].Decision.Duplicate)
		assert.Assert(t, outcomes[4].Err == nil && outcomes[5].Err == nil)
		r.expectRejected(message("v", 5, "t", "k"), apierror.CallPassed)
		r.submitAccepted(message("v", 7, "t", "k"))
		assert.Assert(t, r.submit(senderWithdrawal)[0].Decision.Duplicate)
	})
	withLeader(t, 1, func(t *testing.T, r *rig) {
		r.evaluate(message("v", 2, "t", "k"))
		r.commitAll()
		senderWithdrawal := withdrawal("w", 1, "t", "no message yet")
		senderWithdrawal.WithdrawSender, senderWithdrawal.WithdrawUpTo = "v", 5
		r.evaluate(message("v", 3, "t", "k"))
		r.evaluate(senderWithdrawal)
		partitionLog := r.logs[log.KindInput]
		partitionLog.log.Append(time.Now(), partitionLog.pending[0])
		partitionLog.pending, partitionLog.durable = partitionLog.pending[1:], 2
		r.advanceCommit(partitionLog)
		assert.Assert(
			t, apierror.HasCode(r.evaluate(message("v", 4, "t", "k")).err, apierror.CallPassed),
			"the message in flight is committed, the withdrawal is not yet",
		)
		r.commitAll()
		assert.Equal(t, len(r.uncommitted), 0)
		assert.Equal(t, len(r.uncommittedKeys), 0)
		assert.Assert(t, apierror.HasCode(r.evaluate(message("v", 4, "t", "k")).err, apierror.CallPassed))
		repeated := withdrawal("w", 2, "t", senderWithdrawal.Key)
		repeated.WithdrawSender, repeated.WithdrawUpTo = "v", 4
		assert.Assert(t, r.evaluate(repeated).alreadyWithdrawn)
		repeated.CallSeq, repeated.WithdrawUpTo = 3, 6
		assert.Assert(t, !r.evaluate(repeated).alreadyWithdrawn, "the existing tombstone does not pass a higher number")
	})
}
