// Package usage exports the use of topics, as CSV or Parquet with a schema.
package usage

import (
	"encoding/csv"
	"encoding/json"
	"io"
	"strconv"

	"github.com/parquet-go/parquet-go"

	"postjunction/internal/apierror"
)

// Row is the use of one topic since the fleet was bootstrapped.
type Row struct {
	Space      string `json:"space" parquet:"space"`
	Topic      string `json:"topic" parquet:"topic"`
	Partition  int32  `json:"partition" parquet:"partition"`
	Messages   int64  `json:"messages" parquet:"messages"`
	Senders    int32  `json:"senders" parquet:"senders"`
	LastOffset int64  `json:"last_offset" parquet:"last_offset"`
}

// Field is one column of the schema.
type Field struct {
	Name        string `json:"name"`
	Type        string `json:"type"`
	Description string `json:"description"`
}

// Schema describes the columns, in order.
var Schema = []Field{
	{"space", "string", "space of the topic"},
	{"topic", "string", "topic without its space"},
	{"partition", "integer", "partition that contains the topic's log"},
	{"messages", "integer", "messages accepted since the fleet was bootstrapped"},
	{"senders", "integer", "clients that sent at least one"},
	{"last_offset", "integer", "offset of the last message in the partition's log"},
}

func (r Row) cells() []string {
	return []string{
		r.Space, r.Topic, strconv.Itoa(int(r.Partition)), strconv.FormatInt(r.Messages, 10),
		strconv.Itoa(int(r.Senders)), strconv.FormatInt(r.LastOffset, 10),
	}
}

func writeCSV(w io.Writer, rows []Row) error {
	writer := csv.NewWriter(w)
	var header []string
	for _, field := range Schema {
		header = append(header, field.Name)
	}
	if err := writer.Write(header); err != nil {
		return err
	}
	for _, row := range rows {
		if err := writer.Write(row.cells()); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

func writeSchema(w io.Writer, _ []Row) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(map[string]any{"fields": Schema})
}

var formats = map[string]func(io.Writer, []Row) error{
	"csv":     writeCSV,
	"parquet": func(w io.Writer, rows []Row) error { return parquet.Write(w, rows) },
	"schema":  writeSchema,
}

// Write writes rows in a format: csv, parquet (which contains its schema), or schema (that of the
// CSV, as JSON).
func Write(w io.Writer, format string, rows []Row) error {
	write, ok := formats[format]
	if !ok {
		return apierror.New(apierror.Usage, "format must be csv, parquet or schema, is %q", format)
	}
	return apierror.Wrap(apierror.Usage, write(w, rows), "write usage as %s", format)
}
