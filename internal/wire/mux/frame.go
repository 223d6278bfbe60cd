package mux

import (
	"bufio"
	"encoding/binary"
	"io"

	"postjunction/internal/apierror"
)

// Kinds of frame. A frame is its kind, an identifier, a length and that many bytes. The identifier
// is the number of a call, the number that a head is defined under, or 0. moreFlag is set in the
// kind when further frames of the same body follow.
const (
	kindHead      = 1
	kindOpen      = 2
	kindData      = 3
	kindCancel    = 4
	kindAbort     = 5
	kindHeartbeat = 6
	kindEcho      = 7
	kindLimit     = 8
	moreFlag      = 0x80
)

const (
	chunkBytes         = 16 << 10
	readBufferBytes    = 4 << 10
	maxHeads           = 1 << 10
	maxHeadBytes       = 8 << 10
	maxNameBytes       = 256
	maxFrameBytes      = chunkBytes + maxHeadBytes + 4*binary.MaxVarintLen64
	maxBodyBytes       = 256 << 20
	maxInitialCapacity = 1 << 20
)

// magic begins a connection and contains the version of the frame format. Its line end makes an
// HTTP server reject it at once.
const magic = "PJL\x01\r\n"

type frame struct {
	kind     byte
	more     bool
	id       uint64
	body     []byte
	ownsBody bool
}

func protocolError(format string, args ...any) error {
	return apierror.New(apierror.Unreachable, format, args...)
}

// read reads a frame. Its body is valid until the next read, unless ownsBody is set.
func (f *frame) read(r *bufio.Reader) error {
	kindByte, err := r.ReadByte()
	if err != nil {
		return err
	}
	f.kind, f.more, f.body, f.ownsBody = kindByte&^moreFlag, kindByte&moreFlag != 0, nil, false
	if f.kind == 0 || f.kind >= kindLimit {
		return protocolError("unknown frame kind %#x", kindByte)
	}
	if f.id, err = binary.ReadUvarint(r); err != nil {
		return unexpectedEOF(err)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil {
		return unexpectedEOF(err)
	}
	if length > maxFrameBytes {
		return protocolError("a frame of %d bytes exceeds the limit", length)
	}
	if int(length) <= r.Size() {
		if f.body, err = r.Peek(int(length)); err != nil {
			return unexpectedEOF(err)
		}
		_, err = r.Discard(int(length))
		return err
	}
	f.body, f.ownsBody = make([]byte, length), true
	_, err = io.ReadFull(r, f.body)
	return unexpectedEOF(err)
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// stableBytes returns b, which is part of the frame's body, so that it stays valid after the next
// read. It copies b unless the frame owns its body.
func (f *frame) stableBytes(b []byte) []byte {
	if f.ownsBody {
		return b
	}
	return append(make([]byte, 0, len(b)), b...)
}

func appendFrameHeader(b []byte, kind byte, id uint64, length int) []byte {
	b = append(b, kind)
	b = binary.AppendUvarint(b, id)
	return binary.AppendUvarint(b, uint64(length))
}

// openFields are the fields before the body in the first frame of a request or response. headNumber
// is 0 when the head is inline.
type openFields struct {
	headNumber uint64
	timeoutMS  uint64
	bodyBytes  uint64
	inlineHead []byte
}

// initialCapacity returns how many bytes to allocate for the body at first.
func (o openFields) initialCapacity() int { return int(min(o.bodyBytes, maxInitialCapacity)) }

func (f *frame) parseOpen() (openFields, []byte, error) {
	var fields openFields
	b := f.body
	var ok bool
	if fields.headNumber, b, ok = cutUvarint(b); !ok {
		return fields, nil, protocolError("an open frame has no head number")
	}
	if fields.timeoutMS, b, ok = cutUvarint(b); !ok {
		return fields, nil, protocolError("an open frame has no timeout")
	}
	if f.more {
		if fields.bodyBytes, b, ok = cutUvarint(b); !ok {
			return fields, nil, protocolError("an open frame of a long body has no body length")
		}
	}
	if fields.headNumber == 0 {
		if fields.inlineHead, b, ok = cutPrefixed(b); !ok {
			return fields, nil, protocolError("an inline head is truncated")
		}
	}
	return fields, b, nil
}

func cutUvarint(b []byte) (uint64, []byte, bool) {
	value, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return value, b[n:], true
}

func cutPrefixed(b []byte) ([]byte, []byte, bool) {
	length, b, ok := cutUvarint(b)
	if !ok || length > uint64(len(b)) {
		return nil, nil, false
	}
	return b[:length], b[length:], true
}

func appendPrefixed(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// head is the path of a request, or the status of a response, with its headers. It is sent once for
// each connection and then referred to by number.
type head struct {
	pathOrStatus string
	pairs        []string // names and values of headers in turn
}

func parseHead(b []byte) (*head, error) {
	if len(b) > maxHeadBytes {
		return nil, protocolError("a head of %d bytes exceeds the limit", len(b))
	}
	var parts []string
	for len(b) > 0 {
		part, rest, ok := cutPrefixed(b)
		if !ok {
			return nil, protocolError("a head is truncated")
		}
		parts, b = append(parts, string(part)), rest
	}
	if len(parts)%2 == 0 {
		return nil, protocolError("a head has %d parts, not an odd number", len(parts))
	}
	return &head{parts[0], parts[1:]}, nil
}

// headTable lists the heads that the other side has defined, by number from 1 on.
type headTable struct{ entries []*head }

func (h *headTable) define(f *frame) error {
	if f.id != uint64(len(h.entries)+1) || len(h.entries) >= maxHeads {
		return protocolError("head %d is defined after %d heads", f.id, len(h.entries))
	}
	parsed, err := parseHead(f.body)
	if err == nil {
		h.entries = append(h.entries, parsed)
	}
	return err
}

func (h *headTable) lookup(fields openFields) (*head, error) {
	switch {
	case fields.headNumber == 0:
		return parseHead(fields.inlineHead)
	case fields.headNumber > uint64(len(h.entries)):
		return nil, protocolError("head %d is not defined", fields.headNumber)
	}
	return h.entries[fields.headNumber-1], nil
}

// Preface reads the preface of a connection and returns the name of the node that opened it.
func Preface(r *bufio.Reader) (string, error) {
	var b [len(magic)]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return "", unexpectedEOF(err)
	}
	if string(b[:]) != magic {
		return "", protocolError("the connection begins with %q instead of the preface", b)
	}
	length, err := binary.ReadUvarint(r)
	if err != nil || length > maxNameBytes {
		return "", protocolError("the node name has %d bytes or can't be read", length)
	}
	name := make([]byte, length)
	_, err = io.ReadFull(r, name)
	return string(name), unexpectedEOF(err)
}

// AppendPreface appends the preface of a connection that the node from opens.
func AppendPreface(b []byte, from string) []byte {
	return appendPrefixed(append(b, magic...), from[:min(len(from), maxNameBytes)])
}
