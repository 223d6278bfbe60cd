package usage

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/parquet-go/parquet-go"
	"gotest.tools/v3/assert"
)

var rows = []Row{{"aisles", "a1", 3, 12, 2, 40}, {"stop-line", "line, left", 12, 1, 1, 2}}

func TestExports(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, Write(&b, "csv", rows))
	assert.Equal(
		t, b.String(),
		"space,topic,partition,messages,senders,last_offset\naisles,a1,3,12,2,40\nstop-line,\"line, left\",12,1,1,2\n",
	)
	b.Reset()
	assert.NilError(t, Write(&b, "parquet", rows))
	got, err := parquet.Read[Row](bytes.NewReader(b.Bytes()), int64(b.Len()))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, rows)
	assert.ErrorContains(t, Write(&b, "xml", rows), `must be csv, parquet or schema, is "xml"`)
	rowType := reflect.TypeFor[Row]()
	assert.Equal(t, rowType.NumField(), len(Schema))
	for i, field := range Schema {
		assert.Equal(t, rowType.Field(i).Tag.Get("parquet"), field.Name)
	}
}
