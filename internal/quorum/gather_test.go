package quorum

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
)

// A seal that nobody answered in time once came back as no answers and no error, and passed for a majority.
func TestThoseWhoDoNotAnswerInTimeAreErrors(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	as := Gather(ctx, []int{1, 2, 3}, func(ctx context.Context, w int) (string, error) {
		if w == 2 {
			stop()
			return "two", nil
		}
		<-ctx.Done()
		<-make(chan int)
		return "", nil
	}, nil)
	assert.Equal(t, len(as), 3)
	assert.Assert(t, len(Successes(as)) <= 1)
	assert.Assert(t, FirstError(as) != nil)
	assert.Assert(t, apierror.WithCause(apierror.NoMajority, nil, "x") != nil)
	assert.NilError(t, apierror.Wrap(apierror.NoMajority, nil, "x"))
}
