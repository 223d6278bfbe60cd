package quorum

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// Targets that don't answer in time must be errors. Otherwise a seal that no replica answers in
// time returns no results and no error, and counts as a majority.
func TestGather_TargetsThatDoNotAnswerAreErrors(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	results := Gather(ctx, []int{1, 2, 3}, func(ctx context.Context, target int) (string, error) {
		if target == 2 {
			stop()
			return "two", nil
		}
		<-ctx.Done()
		<-make(chan int)
		return "", nil
	}, nil)
	assert.Equal(t, len(results), 3)
	assert.Assert(t, len(Successes(results)) <= 1)
	assert.Assert(t, FirstError(results) != nil)
	assert.Assert(t, apierror.WithCause(apierror.NoMajority, nil, "x") != nil)
	assert.NilError(t, apierror.Wrap(apierror.NoMajority, nil, "x"))
}
