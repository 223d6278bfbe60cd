package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A node requests compressed streams and reports less capacity if its link is narrow compared to
// its processor. It does neither if the link or the processor is not known.
func TestOptions_CompressStreamsOnANarrowLink(t *testing.T) {
	for _, test := range []struct {
		link, processor int
		compresses      bool
		capacity        int
	}{
		{2200, 192, true, 88},
		{2200, 0, false, 0},
		{0, 192, false, 192},
		{4000, 32, false, 32},
		{100000, 512, false, 512},
		{2000000, 624, false, 624},
		{1, 1, true, 1},
	} {
		options := Options{LinkKbits: test.link, MilliCores: test.processor}
		assert.Equal(
			t, options.CompressStreams(), test.compresses, "%d Kbit/s, %d thousandths", test.link,
			test.processor,
		)
		assert.Equal(t, options.ClientCapacity(), test.capacity)
	}
}
