package leader

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// CompressedBodies holds the bodies of an answer's entries in one deflated piece, in their order; the entries are without theirs then.
type CompressedBodies struct {
	Sizes []int  `json:"s"`
	Bytes []byte `json:"b"`
}

const (
	// packFrom is how many bytes of bodies are worth packing, and packWorth the part of them, in eighths, that must go.
	packFrom  = 256
	packWorth = 7
	packMost  = 16 << 20
)

var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	return w
}}

// pack takes the bodies out of entries, nil where that is worth nothing. Entries are the caller's own; what their bodies point to is left alone.
func pack(es []log.Entry) *CompressedBodies {
	n := 0
	for _, e := range es {
		n += len(e.Body)
	}
	if n < packFrom {
		return nil
	}
	var b bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&b)
	p := &CompressedBodies{Sizes: make([]int, len(es))}
	for i, e := range es {
		p.Sizes[i] = len(e.Body)
		_, _ = w.Write(e.Body)
	}
	_ = w.Close()
	if b.Len() > n/8*packWorth {
		return nil
	}
	for i := range es {
		es[i].Body = nil
	}
	p.Bytes = b.Bytes()
	return p
}

// unpack gives entries their bodies back.
func (p *CompressedBodies) unpack(es []log.Entry) error {
	if p == nil {
		return nil
	}
	n := 0
	for _, k := range p.Sizes {
		if k < 0 || k > packMost-n {
			return apierror.New(apierror.Unreachable, "packed bodies of impossible sizes")
		}
		n += k
	}
	if len(p.Sizes) != len(es) {
		return apierror.New(apierror.Unreachable, "%d packed bodies for %d entries", len(p.Sizes), len(es))
	}
	b := make([]byte, n)
	r := flate.NewReader(bytes.NewReader(p.Bytes))
	if _, err := io.ReadFull(r, b); err != nil {
		return apierror.WithCause(apierror.Unreachable, err, "packed bodies that break off")
	}
	if k, err := r.Read(make([]byte, 1)); k > 0 || err != io.EOF {
		return apierror.New(apierror.Unreachable, "more packed bodies than entries")
	}
	for i, k := range p.Sizes {
		es[i].Body, b = b[:k:k], b[k:]
	}
	return nil
}

// Compress packs the bodies of an answer.
func (t *FollowResponse) Compress() { t.Compressed = pack(t.Backlog) }

// Decompress gives the bodies of an answer back.
func (t *FollowResponse) Decompress() error { return t.Compressed.unpack(t.Backlog) }

// Compress packs the bodies of an answer.
func (p *PollResponse) Compress() { p.Compressed = pack(p.Entries) }

// Decompress gives the bodies of an answer back.
func (p *PollResponse) Decompress() error { return p.Compressed.unpack(p.Entries) }
