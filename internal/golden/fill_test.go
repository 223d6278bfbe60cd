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
	count int
	stack []reflect.Type
}

const elements = 2

func filled(t *testing.T, typ reflect.Type) any {
	t.Helper()
	value := reflect.New(typ)
	(&filler{t: t}).fill(value.Elem())
	return value.Interface()
}

func (f *filler) fill(value reflect.Value) {
	typ := value.Type()
	f.count++
	switch typ {
	case reflect.TypeFor[time.Time]():
		value.Set(reflect.ValueOf(time.Date(2031, 4, 5, 6, 7, f.count%60, 123456789, time.UTC)))
		return
	case reflect.TypeFor[json.RawMessage]():
		value.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.count))
		return
	case reflect.TypeFor[[]byte]():
		value.SetBytes(fmt.Appendf(nil, "b%d", f.count))
		return
	}
	switch typ.Kind() {
	case reflect.Struct:
		for _, enclosing := range f.stack {
			if enclosing == typ {
				return
			}
		}
		f.stack = append(f.stack, typ)
		for i := range typ.NumField() {
			if field := typ.Field(i); isEncoded(field) {
				f.fill(value.Field(i))
			}
		}
		f.stack = f.stack[:len(f.stack)-1]
	case reflect.Pointer:
		value.Set(reflect.New(typ.Elem()))
		f.fill(value.Elem())
	case reflect.Slice:
		value.Set(reflect.MakeSlice(typ, elements, elements))
		for i := range elements {
			f.fill(value.Index(i))
		}
	case reflect.Array:
		for i := range typ.Len() {
			f.fill(value.Index(i))
		}
	case reflect.Map:
		key, element := reflect.New(typ.Key()).Elem(), reflect.New(typ.Elem()).Elem()
		f.fill(key)
		f.fill(element)
		value.Set(reflect.MakeMap(typ))
		value.SetMapIndex(key, element)
	case reflect.String:
		value.SetString(fmt.Sprintf("s%d", f.count))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(f.count) + 0.25)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(int64(f.count))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(f.count))
	default:
		f.t.Fatalf("no example for a value of kind %s", typ.Kind())
	}
}

// isEncoded reports whether the codecs encode a field.
func isEncoded(field reflect.StructField) bool {
	if tag(field) == "-" {
		return false
	}
	if field.Anonymous {
		typ := field.Type
		if typ.Kind() == reflect.Pointer {
			typ = typ.Elem()
		}
		return field.IsExported() || typ.Kind() == reflect.Struct
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
func untagged(typ reflect.Type, seen map[reflect.Type]bool, found map[string]bool) {
	if seen[typ] {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		untagged(typ.Elem(), seen, found)
	case reflect.Map:
		untagged(typ.Key(), seen, found)
		untagged(typ.Elem(), seen, found)
	case reflect.Struct:
		if typ == reflect.TypeFor[time.Time]() {
			return
		}
		for i := range typ.NumField() {
			field := typ.Field(i)
			if !isEncoded(field) {
				continue
			}
			if tag(field) == "" && (!field.Anonymous || field.Type.Kind() != reflect.Struct) {
				found[fmt.Sprintf("%s.%s", typ, field.Name)] = true
			}
			untagged(field.Type, seen, found)
		}
	default:
	}
}
