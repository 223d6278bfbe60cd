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
	f := packing(func(context.Context, *leader.PollRequest) (*leader.Polled, error) {
		return &leader.Polled{Entries: []log.Entry{{Topic: "t", Body: body}}}, nil
	}, func(q *leader.PollRequest) bool { return q.Packs })
	a, err := f(t.Context(), &leader.PollRequest{})
	assert.NilError(t, err)
	assert.Assert(t, a.Packed == nil && bytes.Equal(a.Entries[0].Body, body))
	a, err = f(t.Context(), &leader.PollRequest{Packs: true})
	assert.NilError(t, err)
	assert.Assert(t, a.Packed != nil && a.Entries[0].Body == nil)
	assert.NilError(t, a.Unpack())
	assert.Assert(t, bytes.Equal(a.Entries[0].Body, body))
}
