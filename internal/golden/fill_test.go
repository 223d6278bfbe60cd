package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// filler sets every exported field of a value. What it sets follows from how many values it has
// set before and from nothing else, so names of types and fields leave no trace. Maps get one
// entry, since the codec between nodes doesn't sort their keys.
type filler struct {
	t     *testing.T
	n     int
	stack []reflect.Type
}

const elements = 2

func filled(t *testing.T, x reflect.Type) any {
	t.Helper()
	v := reflect.New(x)
	(&filler{t: t}).fill(v.Elem())
	return v.Interface()
}

func (f *filler) fill(v reflect.Value) {
	x := v.Type()
	f.n++
	switch x {
	case reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Date(2031, 4, 5, 6, 7, f.n%60, 123456789, time.UTC)))
		return
	case reflect.TypeFor[json.RawMessage]():
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.n))
		return
	case reflect.TypeFor[[]byte]():
		v.SetBytes(fmt.Appendf(nil, "b%d", f.n))
		return
	}
	switch x.Kind() {
	case reflect.Struct:
		for _, on := range f.stack {
			if on == x {
				return
			}
		}
		f.stack = append(f.stack, x)
		for i := range x.NumField() {
			if s := x.Field(i); serialised(s) {
				f.fill(v.Field(i))
			}
		}
		f.stack = f.stack[:len(f.stack)-1]
	case reflect.Pointer:
		v.Set(reflect.New(x.Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(x, elements, elements))
		for i := range elements {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range x.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		k, e := reflect.New(x.Key()).Elem(), reflect.New(x.Elem()).Elem()
		f.fill(k)
		f.fill(e)
		v.Set(reflect.MakeMap(x))
		v.SetMapIndex(k, e)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.n) + 0.25)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n))
	default:
		f.t.Fatalf("no example for a value of kind %s", x.Kind())
	}
}

// serialised tells whether the codecs write a field.
func serialised(s reflect.StructField) bool {
	if tag(s) == "-" {
		return false
	}
	if s.Anonymous {
		x := s.Type
		if x.Kind() == reflect.Pointer {
			x = x.Elem()
		}
		return s.IsExported() || x.Kind() == reflect.Struct
	}
	return s.IsExported()
}

// tag gives the name under which a field is written, "" where its Go name is used.
func tag(s reflect.StructField) string {
	v, ok := s.Tag.Lookup("cbor")
	if !ok {
		v = s.Tag.Get("json")
	}
	for i, c := range v {
		if c == ',' {
			return v[:i]
		}
	}
	return v
}

// untagged collects the fields that are written under their Go names, through all that a type
// holds.
func untagged(x reflect.Type, seen map[reflect.Type]bool, found map[string]bool) {
	if seen[x] {
		return
	}
	seen[x] = true
	switch x.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		untagged(x.Elem(), seen, found)
	case reflect.Map:
		untagged(x.Key(), seen, found)
		untagged(x.Elem(), seen, found)
	case reflect.Struct:
		if x == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range x.NumField() {
			s := x.Field(i)
			if !serialised(s) {
				continue
			}
			if tag(s) == "" && (!s.Anonymous || s.Type.Kind() != reflect.Struct) {
				found[fmt.Sprintf("%s.%s", x, s.Name)] = true
			}
			untagged(s.Type, seen, found)
		}
	default:
	}
}
