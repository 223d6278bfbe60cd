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
	// Compression is tried for bodies of at least minCompressBytes in total. The result is used if
	// it has at most maxCompressedEighths eighths of their size.
	minCompressBytes     = 256
	maxCompressedEighths = 7
	// maxBodiesBytes bounds the bodies of one response.
	maxBodiesBytes = 16 << 20
)

var flateWriters = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.HuffmanOnly)
	return w
}}

// compressBodies removes the bodies from entries and returns them compressed, or returns nil if
// that saves too little. It changes the entries in place, but not the bytes that their bodies point
// to.
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
		_, _ = w.Write(entry.Body) // a bytes.Buffer returns no error
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

// decompressInto restores the bodies of the entries. It returns Unreachable if the bodies don't
// match the entries.
func (c *CompressedBodies) decompressInto(entries []log.Entry) error {
	if c == nil {
		return nil
	}
	total := 0
	for _, size := range c.Sizes {
		if size < 0 || size > maxBodiesBytes-total {
			return apierror.New(apierror.Unreachable, "compressed bodies have invalid sizes")
		}
		total += size
	}
	if len(c.Sizes) != len(entries) {
		return apierror.New(apierror.Unreachable, "%d compressed bodies for %d entries", len(c.Sizes), len(entries))
	}
	bodies := make([]byte, total)
	r := flate.NewReader(bytes.NewReader(c.Bytes))
	if _, err := io.ReadFull(r, bodies); err != nil {
		return apierror.WithCause(apierror.Unreachable, err, "compressed bodies are truncated")
	}
	if n, err := r.Read(make([]byte, 1)); n > 0 || err != io.EOF {
		return apierror.New(apierror.Unreachable, "compressed bodies are longer than their sizes")
	}
	for i, size := range c.Sizes {
		entries[i].Body, bodies = bodies[:size:size], bodies[size:]
	}
	return nil
}

// Compress compresses the bodies of the response's entries if that saves enough.
func (r *FollowResponse) Compress() { r.Compressed = compressBodies(r.Backlog) }

// Decompress restores the bodies of the response's entries.
func (r *FollowResponse) Decompress() error { return r.Compressed.decompressInto(r.Backlog) }

// Compress compresses the bodies of the response's entries if that saves enough.
func (r *PollResponse) Compress() { r.Compressed = compressBodies(r.Entries) }

// Decompress restores the bodies of the response's entries.
func (r *PollResponse) Decompress() error { return r.Compressed.decompressInto(r.Entries) }
