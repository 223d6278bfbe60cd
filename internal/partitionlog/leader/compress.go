package leader

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// CompressedBodies holds the bodies of a response's entries, compressed together in their order;
// the entries then have none.
type CompressedBodies struct {
	Sizes []int  `json:"s"`
	Bytes []byte `json:"b"`
}

const (
	// minCompressBytes is from how many bytes of bodies on compression is tried; the result is used
	// if it has at most maxCompressedEighths eighths of them.
	minCompressBytes     = 256
	maxCompressedEighths = 7
	// maxBodiesBytes bounds the bodies of one response.
	maxBodiesBytes = 16 << 20
)

var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	return w
}}

// compressBodies takes the bodies out of entries, or returns nil where that saves too little. It
// changes the entries in place, but not the bytes that their bodies point to.
func compressBodies(entries []log.Entry) *CompressedBodies {
	size := 0
	for _, entry := range entries {
		size += len(entry.Body)
	}
	if size < minCompressBytes {
		return nil
	}
	var buffer bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buffer)
	sizes := make([]int, len(entries))
	for i, entry := range entries {
		sizes[i] = len(entry.Body)
		_, _ = w.Write(entry.Body) // a bytes.Buffer takes all
	}
	_ = w.Close()
	if buffer.Len() > size/8*maxCompressedEighths {
		return nil
	}
	for i := range entries {
		entries[i].Body = nil
	}
	return &CompressedBodies{Sizes: sizes, Bytes: buffer.Bytes()}
}

// decompressInto gives the entries their bodies back; Unreachable where the two don't fit together.
func (c *CompressedBodies) decompressInto(entries []log.Entry) error {
	if c == nil {
		return nil
	}
	total := 0
	for _, size := range c.Sizes {
		if size < 0 || size > maxBodiesBytes-total {
			return apierror.New(apierror.Unreachable, "packed bodies of impossible sizes")
		}
		total += size
	}
	if len(c.Sizes) != len(entries) {
		return apierror.New(apierror.Unreachable, "%d packed bodies for %d entries", len(c.Sizes), len(entries))
	}
	bodies := make([]byte, total)
	r := flate.NewReader(bytes.NewReader(c.Bytes))
	if _, err := io.ReadFull(r, bodies); err != nil {
		return apierror.WithCause(apierror.Unreachable, err, "packed bodies that break off")
	}
	if n, err := r.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return apierror.New(apierror.Unreachable, "more packed bodies than entries")
	}
	for i, size := range c.Sizes {
		entries[i].Body, bodies = bodies[:size:size], bodies[size:]
	}
	return nil
}

// Compress compresses the bodies of the response's entries where that saves enough.
func (r *FollowResponse) Compress() { r.Compressed = compressBodies(r.Backlog) }

// Decompress gives the response's entries their bodies back.
func (r *FollowResponse) Decompress() error { return r.Compressed.decompressInto(r.Backlog) }

// Compress compresses the bodies of the response's entries where that saves enough.
func (r *PollResponse) Compress() { r.Compressed = compressBodies(r.Entries) }

// Decompress gives the response's entries their bodies back.
func (r *PollResponse) Decompress() error { return r.Compressed.decompressInto(r.Entries) }
