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
	_ "postjunction/internal/node" // registers all procedures
	"postjunction/internal/wire"
)

// encoded returns a value's bytes between nodes, and its JSON to make differences readable.
func encoded(t *testing.T, name string, value any) string {
	t.Helper()
	b, err := wire.Marshal(value)
	assert.NilError(t, err)
	inJSON, err := json.Marshal(value)
	assert.NilError(t, err)
	return fmt.Sprintf("%s\n  cbor %s\n  json %s\n", name, hex.EncodeToString(b), inJSON)
}

// Compares the bytes of every request and response, and the idempotency of each call.
func TestBytesBetweenNodes(t *testing.T) {
	var out []string
	for _, procedure := range wire.Procedures() {
		out = append(out, fmt.Sprintf("%s %s\n", procedure.Path, procedure.Idempotency)+
			encoded(t, " task", filled(t, procedure.Request))+encoded(t, " answer", filled(t, procedure.Response)))
	}
	slices.Sort(out)
	assert.Assert(t, len(out) >= 25, "only %d calls", len(out))
	golden.Assert(t, strings.Join(out, ""), "wire.golden")
}

// Compares the envelope of a response with a body and with an error, and the format version.
func TestEnvelope(t *testing.T) {
	type body struct {
		N int `json:"n"`
	}
	out := encoded(t, "body", &wire.Envelope[body]{Body: &body{7}})
	problem := filled(t, reflect.TypeFor[apierror.Error]()).(*apierror.Error)
	out += encoded(t, "problem", &wire.Envelope[body]{Problem: problem})
	out += fmt.Sprintf("sequence %d\n", wire.FormatVersion)
	golden.Assert(t, out, "envelope.golden")
}

// A field that is encoded under its Go name would change the format when it is renamed.
func TestWrittenFieldsHaveTags(t *testing.T) {
	found, seen := map[string]bool{}, map[reflect.Type]bool{}
	for _, procedure := range wire.Procedures() {
		untagged(procedure.Request, seen, found)
		untagged(procedure.Response, seen, found)
	}
	names := slices.Sorted(maps.Keys(found))
	assert.Equal(t, strings.Join(names, "\n"), "", "these fields need a tag")
}
