// Package recording is the file of a recorded day: a header, a line per message, and an end, under a running checksum.
package recording

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"postjunction/internal/apierror"
	"postjunction/internal/rawjson"
)

// Format is the sequence number of the file format.
const Format = 1

// Header begins a recording.
type Header struct {
	Format int      `json:"postjunction_recording"`
	Topics []string `json:"topics"`
}

// Message is one recorded line.
type Message struct {
	MS    int64           `json:"ms"`
	Topic string          `json:"topic"`
	From  string          `json:"from"`
	Call  uint64          `json:"call_seq"`
	Body  json.RawMessage `json:"body"`
	Sum   string          `json:"sum"`
}

type end struct {
	Messages int    `json:"messages"`
	Sum      string `json:"sum"`
}

// Writer writes a recording.
type Writer struct {
	w   io.Writer
	sum string
	n   int
}

func next(sum string, b []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(sum))
	_, _ = h.Write(b)
	return hex.EncodeToString(h.Sum(nil)[:12])
}

// NewWriter writes the header.
func NewWriter(w io.Writer, topics []string) (*Writer, error) {
	r := &Writer{w: w}
	return r, r.line(Header{Format: Format, Topics: topics})
}

func (w *Writer) line(v any) error {
	b, err := rawjson.Marshal(v)
	if err != nil {
		return apierror.Wrap(apierror.RecordingInvalid, err, "write a line")
	}
	w.sum = next(w.sum, b)
	_, err = w.w.Write(append(b, '\n'))
	return apierror.Wrap(apierror.RecordingInvalid, err, "write a line")
}

// Add writes a message.
func (w *Writer) Add(m Message) error {
	w.n++
	m.Sum = w.sum
	return w.line(m)
}

// Close writes the end.
func (w *Writer) Close() error { return w.line(end{Messages: w.n, Sum: w.sum}) }

const lineMost = 4 << 20

func strict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// Read reads a whole recording and turns away foreign, newer, corrupt and truncated ones.
func Read(r io.Reader) (Header, []Message, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, lineMost)
	var h Header
	if !sc.Scan() || strict(sc.Bytes(), &h) != nil || h.Format == 0 {
		return h, nil, apierror.New(apierror.RecordingInvalid, "the file is no recording")
	}
	if h.Format > Format {
		return h, nil, apierror.New(apierror.RecordingInvalid, "the recording has format %d, this build knows %d", h.Format, Format)
	}
	sum := next("", sc.Bytes())
	var ms []Message
	for sc.Scan() {
		var e end
		if strict(sc.Bytes(), &e) == nil {
			if e.Sum != sum || e.Messages != len(ms) {
				return h, nil, apierror.New(apierror.RecordingInvalid, "the recording is corrupt before its end")
			}
			if sc.Scan() {
				return h, nil, apierror.New(apierror.RecordingInvalid, "something follows the recording's end")
			}
			return h, ms, nil
		}
		var m Message
		if err := strict(sc.Bytes(), &m); err != nil || m.Sum != sum {
			return h, nil, apierror.New(apierror.RecordingInvalid, "the recording is corrupt at line %d", len(ms)+2)
		}
		sum = next(sum, sc.Bytes())
		ms = append(ms, m)
	}
	return h, nil, apierror.New(apierror.RecordingInvalid, "the recording breaks off after %d messages", len(ms))
}
