package router

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// A rejected attempt says nothing of its call number, whatever the reason; a leader's decision does.
func TestRejectCallNumber_OnlyALeaderDecidesOnANumber(t *testing.T) {
	ofAnAttempt := map[apierror.Code]bool{
		apierror.NoPartitionLeader: true,
		apierror.Overloaded:        true,
		apierror.NoLease:           true,
		apierror.ShuttingDown:      true,
	}
	for code := range apierror.Codes() {
		want := code
		if ofAnAttempt[code] {
			want = apierror.OutcomeUnknown
		}
		rejected := RejectCallNumber(apierror.Wrap(code, apierror.New(code, "cause"), "outside"))
		assert.Equal(t, apierror.From(rejected).Code, want)
	}
	assert.NilError(t, RejectCallNumber(nil))
	assert.Assert(t, errors.Is(RejectCallNumber(io.EOF), io.EOF))
}

// The client is still told when to come back.
func TestRejectCallNumber_KeepsTheTimeToRetryAfter(t *testing.T) {
	overloaded := apierror.New(apierror.Overloaded, "64 wait").WithRetryAfter(70 * time.Millisecond)
	rejected := apierror.From(RejectCallNumber(overloaded))
	assert.Equal(t, rejected.RetryAfter, 70*time.Millisecond)
	assert.Equal(t, rejected.RetryAfterMS, int64(70))
	assert.ErrorContains(t, rejected, "overloaded: 64 wait")
}
