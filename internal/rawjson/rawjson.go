// Package rawjson encodes JSON without escaping HTML characters in strings.
package rawjson

import (
	"bytes"
	"encoding/json"
)

// Marshal returns v as JSON on one line, without a newline. Unlike json.Marshal it doesn't escape
// <, > and &.
func Marshal(v any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}
