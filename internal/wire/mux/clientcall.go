package mux

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"

	"postjunction/internal/apierror"
)

// clientCall is a request whose response is pending.
type clientCall struct {
	message
	done         chan struct{}
	responseHead *head
	responseBody []byte
	err          error
	headBuffer   [512]byte
}

var callPool = sync.Pool{New: func() any { return &clientCall{done: make(chan struct{}, 1)} }}

// load copies the path, headers, timeout and body of a request into a call.
func (c *clientCall) load(request *http.Request, headerNames []string) error {
	c.kind, c.timeoutMS = kindOpen, 0
	c.head = appendPrefixed(c.headBuffer[:0], request.URL.Path)
	c.head = appendHeaders(c.head, request.Header, headerNames)
	if len(c.head) > maxHeadBytes {
		return apierror.New(apierror.Oversize, "request headers have %d bytes", len(c.head))
	}
	if values := request.Header[timeoutHeader]; len(values) == 1 {
		c.timeoutMS, _ = strconv.ParseUint(values[0], 10, 63)
	}
	c.body = c.body[:0]
	if request.Body == nil || request.ContentLength == 0 {
		return nil
	}
	defer func() { _ = request.Body.Close() }()
	if request.ContentLength > maxBodyBytes {
		return apierror.New(apierror.Oversize, "the request has %d bytes", request.ContentLength)
	}
	if length := int(request.ContentLength); length > 0 {
		if cap(c.body) < length {
			c.body = make([]byte, length)
		}
		c.body = c.body[:length]
		_, err := io.ReadFull(request.Body, c.body)
		return apierror.Wrap(apierror.Internal, err, "read the request body")
	}
	content, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes+1))
	if c.body = content; len(content) > maxBodyBytes {
		return apierror.New(apierror.Oversize, "the request has more than %d bytes", maxBodyBytes)
	}
	return apierror.Wrap(apierror.Internal, err, "read the request body")
}

func appendHeaders(b []byte, header http.Header, names []string) []byte {
	for _, name := range names {
		if values := header[name]; len(values) == 1 {
			b = appendPrefixed(appendPrefixed(b, name), values[0])
		}
	}
	return b
}

func (h *head) header(extra int) http.Header {
	header := make(http.Header, len(h.pairs)/2+extra)
	for i := 0; i < len(h.pairs); i += 2 {
		header[h.pairs[i]] = h.pairs[i+1 : i+2 : i+2]
	}
	return header
}

type bodyReader struct{ bytes.Reader }

// Close does nothing.
func (*bodyReader) Close() error { return nil }

func (c *clientCall) response(request *http.Request) (*http.Response, error) {
	status, err := strconv.Atoi(c.responseHead.pathOrStatus)
	if err != nil {
		return nil, apierror.WithCause(
			apierror.Unreachable, err, "the response has status %q", c.responseHead.pathOrStatus,
		)
	}
	content := &bodyReader{}
	content.Reset(c.responseBody)
	return &http.Response{
		Status: c.responseHead.pathOrStatus, StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: c.responseHead.header(0), Body: content, ContentLength: int64(len(c.responseBody)), Request: request,
	}, nil
}
