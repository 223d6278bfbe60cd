package lineserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"postjunction/internal/apierror"
)

// ReadLine reads one line of at most maxBytes bytes and returns it without its end, LF or CRLF. The
// returned slice is valid until the next read. A longer line is skipped and is a fault. A line
// without an end is dropped.
func ReadLine(r *bufio.Reader, maxBytes int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		var joined []byte
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(joined) <= maxBytes {
				joined = append(joined, line...)
			}
			line, err = r.ReadSlice('\n')
		}
		if len(joined) <= maxBytes {
			joined = append(joined, line...)
		}
		line = joined
	}
	if err != nil {
		return nil, err
	}
	line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
	if len(line) > maxBytes {
		return nil, &Fault{Err: apierror.New(apierror.Oversize, "the line is longer than %d bytes", maxBytes),
			Resynced: true}
	}
	return line, nil
}

// maxSkipFactor bounds the bodies that are skipped: up to this many times the limit. A longer body
// closes the connection.
const maxSkipFactor = 64

// ReadBody reads a body of length bytes and the CRLF after it. A body longer than maxBytes is
// skipped and is a fault.
func ReadBody(r *bufio.Reader, length, maxBytes int) ([]byte, error) {
	if length > maxBytes {
		tooLong := &Fault{
			Err:      apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", length, maxBytes),
			Resynced: true,
		}
		if length/maxSkipFactor > maxBytes {
			tooLong.Resynced = false
			return nil, tooLong
		}
		if _, err := r.Discard(length); err != nil {
			return nil, err
		}
		if err := readCRLF(r); err != nil {
			return nil, err
		}
		return nil, tooLong
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, readCRLF(r)
}

func readCRLF(r *bufio.Reader) error {
	var terminator [2]byte
	if _, err := io.ReadFull(r, terminator[:]); err != nil {
		return err
	}
	if terminator != [2]byte{'\r', '\n'} {
		return Malformed(false, "the body is not followed by CRLF")
	}
	return nil
}

// Fatal returns a fault as one that closes the connection, and any other error as it is.
func Fatal(err error) error {
	var fault *Fault
	if errors.As(err, &fault) {
		return &Fault{Err: fault.Err}
	}
	return err
}
