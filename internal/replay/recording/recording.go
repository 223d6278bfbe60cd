// Package recording reads and writes the file of recorded messages: a header line, a line per
// message, and an end line, all in JSON.
//
// Invariant: each line contains the checksum of all lines before it, and the end line contains the
// number of messages, so that an altered or truncated file is never accepted as a recording. The
// package has no state and starts no goroutines.
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

const (
	// Format is the version of the file format.
	Format = 1
	// maxLineBytes is the maximum length of a line that is read.
	maxLineBytes = 4 << 20
	// sumBytes is how many bytes of a checksum are stored.
	sumBytes = 12
)

// Header is the first line of a recording.
type Header struct {
	Format int      `json:"postjunction_recording"`
	Topics []string `json:"topics"`
}

// Message is one recorded message.
type Message struct {
	// MS is when the message was received, in milliseconds since the recording began.
	MS      int64           `json:"ms"`
	Topic   string          `json:"topic"`
	From    string          `json:"from"`
	CallSeq uint64          `json:"call_seq"`
	Body    json.RawMessage `json:"body"`
	// Sum is the checksum of all lines before this one.
	Sum string `json:"sum"`
}

type end struct {
	Messages int    `json:"messages"`
	Sum      string `json:"sum"`
}

// Writer writes a recording. It is not safe for concurrent use.
type Writer struct {
	w        io.Writer
	sum      string
	messages int
}

// NewWriter writes the header. It returns RecordingInvalid if w fails.
func NewWriter(w io.Writer, topics []string) (*Writer, error) {
	writer := &Writer{w: w}
	return writer, writer.writeLine(Header{Format: Format, Topics: topics})
}

// Add writes a message. It sets the message's Sum.
func (w *Writer) Add(message Message) error {
	w.messages++
	message.Sum = w.sum
	return w.writeLine(message)
}

// Close writes the end line. It leaves the underlying writer open.
func (w *Writer) Close() error { return w.writeLine(end{Messages: w.messages, Sum: w.sum}) }

func (w *Writer) writeLine(value any) error {
	line, err := rawjson.Marshal(value)
	if err != nil {
		return apierror.Wrap(apierror.RecordingInvalid, err, "write a line")
	}
	w.sum = nextSum(w.sum, line)
	_, err = w.w.Write(append(line, '\n'))
	return apierror.Wrap(apierror.RecordingInvalid, err, "write a line")
}

// nextSum returns the checksum of all lines up to this one, given that of the lines before.
func nextSum(sum string, line []byte) string {
	hash := sha256.New()
	_, _ = hash.Write([]byte(sum))
	_, _ = hash.Write(line)
	return hex.EncodeToString(hash.Sum(nil)[:sumBytes])
}

// Read reads a complete recording. It returns RecordingInvalid for a file that is not a recording,
// or is of a newer format, altered or truncated.
func Read(r io.Reader) (Header, []Message, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var header Header
	if !lines.Scan() || unmarshalStrict(lines.Bytes(), &header) != nil || header.Format == 0 {
		return header, nil, apierror.New(apierror.RecordingInvalid, "the file is not a recording")
	}
	if header.Format > Format {
		return header, nil, apierror.New(apierror.RecordingInvalid,
			"the recording has format %d, this build knows %d", header.Format, Format)
	}
	sum := nextSum("", lines.Bytes())
	var messages []Message
	for lines.Scan() {
		var last end
		if unmarshalStrict(lines.Bytes(), &last) == nil {
			if last.Sum != sum || last.Messages != len(messages) {
				return header, nil, apierror.New(apierror.RecordingInvalid,
					"the recording is corrupt before its end")
			}
			if lines.Scan() {
				return header, nil, apierror.New(apierror.RecordingInvalid,
					"something follows the recording's end")
			}
			return header, messages, nil
		}
		var message Message
		if err := unmarshalStrict(lines.Bytes(), &message); err != nil || message.Sum != sum {
			return header, nil, apierror.New(apierror.RecordingInvalid,
				"the recording is corrupt at line %d", len(messages)+2)
		}
		sum = nextSum(sum, lines.Bytes())
		messages = append(messages, message)
	}
	return header, nil, apierror.New(apierror.RecordingInvalid,
		"the recording is truncated after %d messages", len(messages))
}

// unmarshalStrict fails for fields that the type doesn't have.
func unmarshalStrict(line []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	return decoder.Decode(value)
}
