package wire

import (
	"errors"
	"io"
	"syscall"

	"connectrpc.com/connect"

	"postjunction/internal/apierror"
)

var away = []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF}

// TurnedAway tells whether a call failed since the other side's port refused or reset it: the
// machine is there, the process is not, or broke the connection off. Silence is something else.
func TurnedAway(err error) bool {
	for _, e := range away {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Spoke tells whether the other side answered at all, if only that it does not know the call, as an older build does.
func Spoke(err error) bool {
	return err == nil || apierror.From(err).Code != apierror.Unreachable ||
		connect.CodeOf(err) == connect.CodeUnimplemented
}
