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
	content := sampleRecording(t)
	_, messages, err := Read(strings.NewReader(content))
	assert.NilError(t, err)
	assert.Equal(t, len(messages), 3)
	lines := strings.SplitAfter(content, "\n")
	for text, want := range map[string]string{
		"":                          "the file is not a recording",
		"PK\x03":                    "the file is not a recording",
		`{"a":1}`:                   "the file is not a recording",
		content[:len(content)/2]:    "the recording is corrupt at line 3",
		strings.Join(lines[:3], ""): "the recording is truncated after 2 messages",
		strings.Replace(content, `"call_seq":2`, `"call_seq":3`, 1): "the recording is corrupt at line 4",
		lines[0] + lines[2] + lines[3] + lines[4]:                   "the recording is corrupt at line 2",
		content + "{}\n": "something follows the recording's end",
		strings.Replace(content, `recording":1`, `recording":2`, 1): "the recording has format 2, this build knows 1",
	} {
		_, _, err := Read(strings.NewReader(text))
		assert.ErrorContains(t, err, want)
	}
}
