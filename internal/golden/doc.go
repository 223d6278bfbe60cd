// Package golden compares formats that a rename of Go identifiers must not change with golden
// files: bytes between nodes and on disk, JSON, settings, error codes, event numbers and the help
// of the command line.
//
// The tests fill values by the position of fields and never by their names, so that a renamed field
// whose tag stays produces the same bytes. After a change that is meant to alter a format, run
// go test ./internal/golden -update and read the difference. The folders in testdata/old were written
// once and are never updated: newer builds have to read them.
package golden
