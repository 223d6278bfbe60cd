package wire

import (
	"errors"
	"io"
	"syscall"

	"connectrpc.com/connect"

	"postjunction/internal/apierror"
)

var connectionErrors = []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF}

// RefusedOrReset reports whether a call failed because the peer's port refused or reset the
// connection: the machine is up, but the process is not, or it closed the connection. It is false
// for a peer that doesn't respond at all.
func RefusedOrReset(err error) bool {
	for _, e := range connectionErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// PeerResponded reports whether the peer responded at all. An older build that doesn't know the
// procedure has responded too.
func PeerResponded(err error) bool {
	return err == nil || apierror.From(err).Code != apierror.Unreachable ||
		connect.CodeOf(err) == connect.CodeUnimplemented
}
