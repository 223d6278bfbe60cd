package lineserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"postjunction/internal/apierror"
)

// ReadLine reads one line of at most most bytes without its end, LF or CRLF. It is valid until the
// next read. A longer line is skipped and is a fault; a line without its end is dropped.
func ReadLine(r *bufio.Reader, most int) ([]byte, error) {
	b, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		var all []byte
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(all) <= most {
				all = append(all, b...)
			}
			b, err = r.ReadSlice('\n')
		}
		if len(all) <= most {
			all = append(all, b...)
		}
		b = all
	}
	if err != nil {
		return nil, err
	}
	b = bytes.TrimSuffix(b[:len(b)-1], []byte("\r"))
	if len(b) > most {
		return nil, &Fault{Err: apierror.New(apierror.Oversize, "the line is longer than %d bytes", most), Resynced: true}
	}
	return b, nil
}

// skipShare is how many times the limit a body may have to be skipped; after a longer one the connection ends.
const skipShare = 64

// ReadBody reads n bytes and the line's end after them, CRLF. A body longer than most is skipped and is a fault.
func ReadBody(r *bufio.Reader, n, most int) ([]byte, error) {
	if n > most {
		long := &Fault{Err: apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", n, most),
			Resynced: true}
		if n/skipShare > most {
			long.Resynced = false
			return nil, long
		}
		if _, err := r.Discard(n); err != nil {
			return nil, err
		}
		if err := end(r); err != nil {
			return nil, err
		}
		return nil, long
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	return b, end(r)
}

func end(r *bufio.Reader) error {
	var b [2]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return err
	}
	if b != [2]byte{'\r', '\n'} {
		return Malformed(false, "the body is not followed by CRLF")
	}
	return nil
}

// Fatal makes a fault one after which the connection ends.
func Fatal(err error) error {
	var f *Fault
	if errors.As(err, &f) {
		return &Fault{Err: f.Err}
	}
	return err
}
