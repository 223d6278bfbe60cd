package router

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

// Bodies are compressed only where the request asks for it.
func TestCompressing_OnlyWhereAsked(t *testing.T) {
	body := bytes.Repeat([]byte("abcdefgh"), 100)
	handler := compressing(func(context.Context, *leader.PollRequest) (*leader.PollResponse, error) {
		return &leader.PollResponse{Entries: []log.Entry{{Topic: "t", Body: body}}}, nil
	}, func(request *leader.PollRequest) bool { return request.Compress })
	response, err := handler(t.Context(), &leader.PollRequest{})
	assert.NilError(t, err)
	assert.Assert(t, response.Compressed == nil && bytes.Equal(response.Entries[0].Body, body))
	response, err = handler(t.Context(), &leader.PollRequest{Compress: true})
	assert.NilError(t, err)
	assert.Assert(t, response.Compressed != nil && response.Entries[0].Body == nil)
	assert.NilError(t, response.Decompress())
	assert.Assert(t, bytes.Equal(response.Entries[0].Body, body))
}
