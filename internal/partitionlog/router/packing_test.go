package router

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

// Bodies come packed to those that ask for it, and to nobody else.
func TestBodiesArePackedForThoseThatAsk(t *testing.T) {
	body := bytes.Repeat([]byte("abcdefgh"), 100)
	f := packing(func(context.Context, *leader.PollRequest) (*leader.PollResponse, error) {
		return &leader.PollResponse{Entries: []log.Entry{{Topic: "t", Body: body}}}, nil
	}, func(q *leader.PollRequest) bool { return q.Compress })
	a, err := f(t.Context(), &leader.PollRequest{})
	assert.NilError(t, err)
	assert.Assert(t, a.Compressed == nil && bytes.Equal(a.Entries[0].Body, body))
	a, err = f(t.Context(), &leader.PollRequest{Compress: true})
	assert.NilError(t, err)
	assert.Assert(t, a.Compressed != nil && a.Entries[0].Body == nil)
	assert.NilError(t, a.Decompress())
	assert.Assert(t, bytes.Equal(a.Entries[0].Body, body))
}
