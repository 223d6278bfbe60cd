package mux

import (
	"bufio"
	"encoding/binary"
	"io"

	"postjunction/internal/apierror"
)

// Kinds of frame. A frame is its kind, a number, a length and that many bytes; the number is that
// of the call, of the head that is named, or nothing.
const (
	kindHead      = 1
	kindOpen      = 2
	kindData      = 3
	kindCancel    = 4
	kindAbort     = 5
	kindHeartbeat = 6
	kindEcho      = 7
	kindsEnd      = 8
	more          = 0x80
)

const (
	chunk      = 16 << 10
	readBuffer = 4 << 10
	mostHeads  = 1 << 10
	mostHead   = 8 << 10
	mostName   = 256
	mostFrame  = chunk + mostHead + 4*binary.MaxVarintLen64
	mostBody   = 256 << 20
	mostRoom   = 1 << 20
)

// magic begins a connection and holds the sequence of the frame format; its line end makes a server
// of HTTP turn it away at once.
const magic = "PJL\x01\r\n"

type frame struct {
	kind byte
	more bool
	id   uint64
	body []byte
	own  bool
}

func broken(f string, a ...any) error { return apierror.New(apierror.Unreachable, f, a...) }

// read reads a frame. Its body is valid until the next read unless own says that it is the frame's own.
func (f *frame) read(r *bufio.Reader) error {
	k, err := r.ReadByte()
	if err != nil {
		return err
	}
	f.kind, f.more, f.body, f.own = k&^more, k&more != 0, nil, false
	if f.kind == 0 || f.kind >= kindsEnd {
		return broken("no such frame: %#x", k)
	}
	if f.id, err = binary.ReadUvarint(r); err != nil {
		return cut(err)
	}
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return cut(err)
	}
	if n > mostFrame {
		return broken("a frame of %d bytes", n)
	}
	if int(n) <= r.Size() {
		if f.body, err = r.Peek(int(n)); err != nil {
			return cut(err)
		}
		_, err = r.Discard(int(n))
		return err
	}
	f.body, f.own = make([]byte, n), true
	_, err = io.ReadFull(r, f.body)
	return cut(err)
}

func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// kept gives bytes of the frame's body that outlive the next read.
func (f *frame) kept(b []byte) []byte {
	if f.own {
		return b
	}
	return append(make([]byte, 0, len(b)), b...)
}

func start(b []byte, kind byte, id uint64, n int) []byte {
	b = append(b, kind)
	b = binary.AppendUvarint(b, id)
	return binary.AppendUvarint(b, uint64(n))
}

// opening is what the first frame of a task or an answer holds before the body.
type opening struct {
	number uint64
	wait   uint64
	total  uint64
	inline []byte
}

// room is how much to set aside for the body.
func (o opening) room() int { return int(min(o.total, mostRoom)) }

func (f *frame) opening() (opening, []byte, error) {
	var o opening
	b := f.body
	var ok bool
	if o.number, b, ok = uvarint(b); !ok {
		return o, nil, broken("a task without a head")
	}
	if o.wait, b, ok = uvarint(b); !ok {
		return o, nil, broken("a task without its time")
	}
	if f.more {
		if o.total, b, ok = uvarint(b); !ok {
			return o, nil, broken("a long body without its length")
		}
	}
	if o.number == 0 {
		if o.inline, b, ok = piece(b); !ok {
			return o, nil, broken("a head that breaks off")
		}
	}
	return o, b, nil
}

func uvarint(b []byte) (uint64, []byte, bool) {
	v, n := binary.Uvarint(b)
	if n <= 0 {
		return 0, nil, false
	}
	return v, b[n:], true
}

func piece(b []byte) ([]byte, []byte, bool) {
	n, b, ok := uvarint(b)
	if !ok || n > uint64(len(b)) {
		return nil, nil, false
	}
	return b[:n], b[n:], true
}

func appendPiece(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// head is the path or status of a task or an answer with its headers, sent once a connection and then named by number.
type head struct {
	first string
	pairs []string
}

func parseHead(b []byte) (*head, error) {
	if len(b) > mostHead {
		return nil, broken("a head of %d bytes", len(b))
	}
	var ss []string
	for len(b) > 0 {
		p, rest, ok := piece(b)
		if !ok {
			return nil, broken("a head that breaks off")
		}
		ss, b = append(ss, string(p)), rest
	}
	if len(ss)%2 == 0 {
		return nil, broken("a head of %d parts", len(ss))
	}
	return &head{ss[0], ss[1:]}, nil
}

// heads are those that the other side has named.
type heads struct{ m []*head }

func (h *heads) name(f *frame) error {
	if f.id != uint64(len(h.m)+1) || len(h.m) >= mostHeads {
		return broken("head %d after %d", f.id, len(h.m))
	}
	x, err := parseHead(f.body)
	if err == nil {
		h.m = append(h.m, x)
	}
	return err
}

func (h *heads) of(o opening) (*head, error) {
	switch {
	case o.number == 0:
		return parseHead(o.inline)
	case o.number > uint64(len(h.m)):
		return nil, broken("no head %d", o.number)
	}
	return h.m[o.number-1], nil
}

// Preface reads what begins a connection and gives the name of the node that opened it.
func Preface(r *bufio.Reader) (string, error) {
	var b [len(magic)]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return "", cut(err)
	}
	if string(b[:]) != magic {
		return "", broken("a connection that begins with %q", b)
	}
	n, err := binary.ReadUvarint(r)
	if err != nil || n > mostName {
		return "", broken("a name of %d bytes", n)
	}
	s := make([]byte, n)
	_, err = io.ReadFull(r, s)
	return string(s), cut(err)
}

// AppendPreface writes what begins a connection of a node.
func AppendPreface(b []byte, from string) []byte {
	return appendPiece(append(b, magic...), from[:min(len(from), mostName)])
}
