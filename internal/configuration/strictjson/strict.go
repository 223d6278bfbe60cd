// Package strictjson checks a JSON document and finds every unknown, duplicate, missing or mistyped
// field, with its path. It has no state between calls.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"postjunction/internal/apierror"
)

// Shape says what a value must be: its kind, the fields of an object and which of them are
// required, the items of an array.
type Shape struct {
	Kind     string
	Fields   map[string]Shape
	Required []string
	Items    *Shape
}

// Kinds of value, as messages name them.
const (
	Object   = "an object"
	Array    = "an array"
	Text     = "a string"
	Count    = "a whole number from 0"
	Positive = "a whole number above 0"
	Flag     = "true or false"
	Any      = ""
)

// maxFaults bounds how many faults of a document are listed.
const maxFaults = 100

type walker struct {
	decoder *json.Decoder
	faults  []apierror.Fault
}

// Check returns every fault of a document against a shape, at most 100. It returns the error
// apierror.Malformed if the document is not JSON.
func Check(document []byte, shape Shape) ([]apierror.Fault, error) {
	w := &walker{decoder: json.NewDecoder(bytes.NewReader(document))}
	w.decoder.UseNumber()
	if err := w.value("$", &shape); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the document breaks off or is no JSON at byte %d",
			w.decoder.InputOffset())
	}
	if _, err := w.decoder.Token(); err != io.EOF {
		w.add("$", "something follows the document")
	}
	return w.faults, nil
}

func (w *walker) add(path, format string, args ...any) {
	if len(w.faults) < maxFaults {
		w.faults = append(w.faults, apierror.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

// kindChecks has a function for each kind that reports whether a token is of that kind. The token
// begins neither an object nor an array.
var kindChecks = map[string]func(json.Token) bool{
	Text:     func(token json.Token) bool { _, ok := token.(string); return ok },
	Flag:     func(token json.Token) bool { _, ok := token.(bool); return ok },
	Count:    func(token json.Token) bool { return isWhole(token, 0) },
	Positive: func(token json.Token) bool { return isWhole(token, 1) },
	Object:   func(json.Token) bool { return false },
	Array:    func(json.Token) bool { return false },
}

func isWhole(token json.Token, least int64) bool {
	number, ok := token.(json.Number)
	if !ok {
		return false
	}
	i, err := number.Int64()
	return err == nil && i >= least
}

// value walks one value; a nil shape, or one of kind Any, allows everything.
func (w *walker) value(path string, shape *Shape) error {
	token, err := w.decoder.Token()
	if err != nil {
		return err
	}
	if shape != nil && shape.Kind == Any {
		shape = nil
	}
	switch token {
	case json.Delim('{'):
		if shape != nil && shape.Kind != Object {
			w.add(path, "must be %s, is an object", shape.Kind)
			shape = nil
		}
		return w.object(path, shape)
	case json.Delim('['):
		if shape != nil && shape.Kind != Array {
			w.add(path, "must be %s, is an array", shape.Kind)
			shape = nil
		}
		return w.array(path, shape)
	}
	if shape != nil && !kindChecks[shape.Kind](token) {
		b, _ := json.Marshal(token) // it was just decoded
		w.add(path, "must be %s, is %s", shape.Kind, b)
	}
	return nil
}

func (w *walker) object(path string, shape *Shape) error {
	seen := map[string]bool{}
	for w.decoder.More() {
		token, err := w.decoder.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		fieldPath := path + "." + name
		if seen[name] {
			w.add(fieldPath, "stands twice")
		}
		seen[name] = true
		var fieldShape *Shape
		if shape != nil {
			if field, ok := shape.Fields[name]; ok {
				fieldShape = &field
			} else {
				w.add(fieldPath, "is not a field of this document")
			}
		}
		if err := w.value(fieldPath, fieldShape); err != nil {
			return err
		}
	}
	if shape != nil {
		for _, name := range shape.Required {
			if !seen[name] {
				w.add(path+"."+name, "is missing")
			}
		}
	}
	_, err := w.decoder.Token()
	return err
}

func (w *walker) array(path string, shape *Shape) error {
	var itemShape *Shape
	if shape != nil {
		itemShape = shape.Items
	}
	for i := 0; w.decoder.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", path, i), itemShape); err != nil {
			return err
		}
	}
	_, err := w.decoder.Token()
	return err
}
