package recording

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func sampleRecording(t *testing.T) string {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, []string{"s/a"})
	assert.NilError(t, err)
	for i := range 3 {
		assert.NilError(t, w.Add(Message{MS: int64(i), Topic: "s/a", From: "v", CallSeq: uint64(i + 1),
			Body: json.RawMessage(`{"n":1}`)}))
	}
	assert.NilError(t, w.Close())
	return b.String()
}

func TestRead(t *testing.T) {
	s := sampleRecording(t)
	_, ms, err := Read(strings.NewReader(s))
	assert.NilError(t, err)
	assert.Equal(t, len(ms), 3)
	lines := strings.SplitAfter(s, "\n")
	for text, want := range map[string]string{
		"":                          "the file is no recording",
		"PK\x03":                    "the file is no recording",
		`{"a":1}`:                   "the file is no recording",
		s[:len(s)/2]:                "the recording is corrupt at line 3",
		strings.Join(lines[:3], ""): "the recording breaks off after 2 messages",
		strings.Replace(s, `"call_seq":2`, `"call_seq":3`, 1): "the recording is corrupt at line 4",
		lines[0] + lines[2] + lines[3] + lines[4]:             "the recording is corrupt at line 2",
		s + "{}\n": "something follows the recording's end",
		strings.Replace(s, `recording":1`, `recording":2`, 1): "the recording has format 2, this build knows 1",
	} {
		_, _, err := Read(strings.NewReader(text))
		assert.ErrorContains(t, err, want)
	}
}
