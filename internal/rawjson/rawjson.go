// Package rawjson writes JSON without rewriting the bytes of strings inside it.
package rawjson

import (
	"bytes"
	"encoding/json"
)

// Marshal gives the Marshal of v on one line, without its newline.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}
