package golden

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"
)

// filler sets every exported field of a value. What it sets depends only on how many values it has
// set before, so names of types and fields have no effect. Maps get one entry, because the codec
// between nodes doesn't sort their keys.
type filler struct {
	t     *testing.T
	n     int
	stack []reflect.Type
}

const elements = 2

func filled(t *testing.T, kind reflect.Type) any {
	t.Helper()
	value := reflect.New(kind)
	(&filler{t: t}).fill(value.Elem())
	return value.Interface()
}

func (f *filler) fill(value reflect.Value) {
	kind := value.Type()
	f.n++
	switch kind {
	case reflect.TypeFor[time.Time]():
		value.Set(reflect.ValueOf(time.Date(2031, 4, 5, 6, 7, f.n%60, 123456789, time.UTC)))
		return
	case reflect.TypeFor[json.RawMessage]():
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.n))
		return
	case reflect.TypeFor[[]byte]():
		value.SetBytes(fmt.Appendf(nil, "b%d", f.n))
		return
	}
	switch kind.Kind() {
	case reflect.Struct:
		for _, enclosing := range f.stack {
			if enclosing == kind {
				return
			}
		}
		f.stack = append(f.stack, kind)
		for i := range kind.NumField() {
			if field := kind.Field(i); isEncoded(field) {
				f.fill(value.Field(i))
			}
		}
		f.stack = f.stack[:len(f.stack)-1]
	case reflect.Pointer:
		value.Set(reflect.New(kind.Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(kind, elements, elements))
		for i := range elements {
			f.fill(value.Index(i))
		}
	case reflect.Array:
		for i := range kind.Len() {
			f.fill(value.Index(i))
		}
	case reflect.Map:
		key, element := reflect.New(kind.Key()).Elem(), reflect.New(kind.Elem()).Elem()
		f.fill(key)
		f.fill(element)
		value.Set(reflect.MakeMap(kind))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(fmt.Sprintf("s%d", f.n))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.n) + 0.25)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.n))
	default:
		f.t.Fatalf("no example for a value of kind %s", kind.Kind())
	}
}

// isEncoded reports whether the codecs encode a field.
func isEncoded(field reflect.StructField) bool {
	if tag(field) == "-" {
		return false
	}
	if field.Anonymous {
		kind := field.Type
		if kind.Kind() == reflect.Pointer {
			kind = kind.Elem()
		}
		return field.IsExported() || kind.Kind() == reflect.Struct
	}
	return field.IsExported()
}

// tag returns the name under which a field is encoded, or "" if its Go name is used.
func tag(field reflect.StructField) string {
	value, ok := field.Tag.Lookup("cbor")
	if !ok {
		value = field.Tag.Get("json")
	}
	for i, char := range value {
		if char == ',' {
			return value[:i]
		}
	}
	return value
}

// untagged collects the fields that are encoded under their Go names, in a type and all types that
// it contains.
func untagged(kind reflect.Type, seen map[reflect.Type]bool, found map[string]bool) {
	if seen[kind] {
		return
	}
	seen[kind] = true
	switch kind.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		untagged(kind.Elem(), seen, found)
	case reflect.Map:
		untagged(kind.Key(), seen, found)
		untagged(kind.Elem(), seen, found)
	case reflect.Struct:
		if kind == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range kind.NumField() {
			field := kind.Field(i)
			if !isEncoded(field) {
				continue
			}
			if tag(field) == "" && (!field.Anonymous || field.Type.Kind() != reflect.Struct) {
				found[fmt.Sprintf("%s.%s", kind, field.Name)] = true
			}
			untagged(field.Type, seen, found)
		}
	default:
	}
}
