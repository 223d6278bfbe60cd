// Package strictjson walks a JSON document and finds every unknown, doubled, missing or mistyped field with its place.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"postjunction/internal/apierror"
)

// Shape says what a value must be.
type Shape struct {
	Kind   string
	Fields map[string]Shape
	Needed []string
	Items  *Shape
}

// Kinds of value.
const (
	Object = "an object"
	Array  = "an array"
	Text   = "a string"
	Count  = "a whole number from 0"
	Above  = "a whole number above 0"
	Flag   = "true or false"
	Any    = ""
)

type walker struct {
	d *json.Decoder
	f []apierror.Fault
}

const faultsMost = 100

// Check gives every fault of a document against a shape; an error means that it is no JSON at all.
func Check(b []byte, s Shape) ([]apierror.Fault, error) {
	w := &walker{d: json.NewDecoder(bytes.NewReader(b))}
	w.d.UseNumber()
	if err := w.value("$", &s); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the document breaks off or is no JSON at byte %d", w.d.InputOffset())
	}
	if _, err := w.d.Token(); err != io.EOF {
		w.add("$", "something follows the document")
	}
	return w.f, nil
}

func (w *walker) add(place, say string, a ...any) {
	if len(w.f) < faultsMost {
		w.f = append(w.f, apierror.Fault{Path: place, Message: fmt.Sprintf(say, a...)})
	}
}

var scalar = map[string]func(json.Token) bool{
	Text:   func(t json.Token) bool { _, ok := t.(string); return ok },
	Flag:   func(t json.Token) bool { _, ok := t.(bool); return ok },
	Count:  func(t json.Token) bool { return whole(t, 0) },
	Above:  func(t json.Token) bool { return whole(t, 1) },
	Object: func(json.Token) bool { return false },
	Array:  func(json.Token) bool { return false },
}

func whole(t json.Token, least int64) bool {
	n, ok := t.(json.Number)
	if !ok {
		return false
	}
	i, err := n.Int64()
	return err == nil && i >= least
}

func (w *walker) value(place string, s *Shape) error {
	t, err := w.d.Token()
	if err != nil {
		return err
	}
	if s != nil && s.Kind == Any {
		s = nil
	}
	switch t {
	case json.Delim('{'):
		if s != nil && s.Kind != Object {
			w.add(place, "must be %s, is an object", s.Kind)
			s = nil
		}
		return w.object(place, s)
	case json.Delim('['):
		if s != nil && s.Kind != Array {
			w.add(place, "must be %s, is an array", s.Kind)
			s = nil
		}
		return w.array(place, s)
	}
	if s != nil && !scalar[s.Kind](t) {
		b, _ := json.Marshal(t)
		w.add(place, "must be %s, is %s", s.Kind, b)
	}
	return nil
}

func (w *walker) object(place string, s *Shape) error {
	seen := map[string]bool{}
	for w.d.More() {
		t, err := w.d.Token()
		if err != nil {
			return err
		}
		n, _ := t.(string)
		at := place + "." + n
		if seen[n] {
			w.add(at, "stands twice")
		}
		seen[n] = true
		var in *Shape
		if s != nil {
			if f, ok := s.Fields[n]; ok {
				in = &f
			} else {
				w.add(at, "is not a field of this document")
			}
		}
		if err := w.value(at, in); err != nil {
			return err
		}
	}
	if s != nil {
		for _, n := range s.Needed {
			if !seen[n] {
				w.add(place+"."+n, "is missing")
			}
		}
	}
	_, err := w.d.Token()
	return err
}

func (w *walker) array(place string, s *Shape) error {
	var in *Shape
	if s != nil {
		in = s.Items
	}
	for i := 0; w.d.More(); i++ {
		if err := w.value(fmt.Sprintf("%s[%d]", place, i), in); err != nil {
			return err
		}
	}
	_, err := w.d.Token()
	return err
}
