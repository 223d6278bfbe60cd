package golden

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/apierror"
	_ "postjunction/internal/node" // names all calls
	"postjunction/internal/wire"
)

// line gives a value's bytes between nodes, and its JSON to read the difference by.
func line(t *testing.T, name string, v any) string {
	t.Helper()
	b, err := wire.Marshal(v)
	assert.NilError(t, err)
	j, err := json.Marshal(v)
	assert.NilError(t, err)
	return fmt.Sprintf("%s\n  cbor %s\n  json %s\n", name, hex.EncodeToString(b), j)
}

// The bytes of every task and answer, and why each call may be repeated.
func TestBytesBetweenNodes(t *testing.T) {
	var out []string
	for _, s := range wire.Procedures() {
		out = append(out, fmt.Sprintf("%s %s\n", s.Path, s.Idempotency)+
			line(t, " task", filled(t, s.Request))+line(t, " answer", filled(t, s.Response)))
	}
	slices.Sort(out)
	assert.Assert(t, len(out) >= 25, "only %d calls", len(out))
	golden.Assert(t, strings.Join(out, ""), "wire.golden")
}

// The envelope of an answer, with a body and with a problem, and what every call begins with.
func TestEnvelope(t *testing.T) {
	type body struct {
		N int `json:"n"`
	}
	out := line(t, "body", &wire.Envelope[body]{Body: &body{7}})
	p := filled(t, reflect.TypeFor[apierror.Error]()).(*apierror.Error)
	out += line(t, "problem", &wire.Envelope[body]{Problem: p})
	out += fmt.Sprintf("sequence %d\n", wire.FormatVersion)
	golden.Assert(t, out, "envelope.golden")
}

// A field that is written under its Go name would change the format when it is renamed.
func TestWrittenFieldsHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, s := range wire.Procedures() {
		untagged(s.Request, seen, found)
		untagged(s.Response, seen, found)
	}
	names := slices.Sorted(maps.Keys(found))
	assert.Equal(t, strings.Join(names, "\n"), "", "these fields need a tag")
}
