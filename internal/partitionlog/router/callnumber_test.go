package router

import (
	"errors"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// A rejected attempt leaves the outcome of its call number unknown, whatever the reason. Only a
// leader's decision on the number is final.
func TestRejectCallNumber_OnlyALeaderDecidesOnANumber(t *testing.T) {
	attemptOnly := map[apierror.Code]bool{
		apierror.NoPartitionLeader: true,
		apierror.Overloaded:        true,
		apierror.NoLease:           true,
		apierror.ShuttingDown:      true,
	}
	for code := range apierror.Codes() {
		want := code
		if attemptOnly[code] {
			want = apierror.OutcomeUnknown
		}
		rejected := RejectCallNumber(apierror.Wrap(code, apierror.New(code, "cause"), "outside"))
		assert.Equal(t, apierror.From(rejected).Code, want)
	}
	assert.NilError(t, RejectCallNumber(nil))
	assert.Assert(t, errors.Is(RejectCallNumber(io.EOF), io.EOF))
}

// The client still gets the time after which to retry.
func TestRejectCallNumber_KeepsTheTimeToRetryAfter(t *testing.T) {
	overloaded := apierror.New(apierror.Overloaded, "64 wait").WithRetryAfter(70 * time.Millisecond)
	rejected := apierror.From(RejectCallNumber(overloaded))
	assert.Equal(t, rejected.RetryAfter, 70*time.Millisecond)
	assert.Equal(t, rejected.RetryAfterMS, int64(70))
	assert.ErrorContains(t, rejected, "overloaded: 64 wait")
}
