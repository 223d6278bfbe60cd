package golden

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/disk/journal"
	"postjunction/internal/membership"
	"postjunction/internal/recordtype"
)

// Compares the record of a node's address book, which older builds skip.
func TestBytesOfAddresses(t *testing.T) {
	const stored = `[{"addr":"127.0.0.1:7501","control":true},{"addr":"127.0.0.1:7502"}]`
	book := &membership.AddressBook{}
	assert.NilError(t, book.Restore(journal.Record{Kind: recordtype.Addresses, Body: []byte(stored)}))
	out := ""
	for _, slice := range book.Slices() {
		records, _ := slice()
		for _, record := range records {
			out += fmt.Sprintf("kind %d body %s\n", record.Kind, record.Body)
		}
	}
	golden.Assert(t, out, "addresses.golden")
}
