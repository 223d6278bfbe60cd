package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A machine packs, and carries less, where its link is narrow beside its processor, and never where either is not known.
func TestPacksWhereTheLinkIsNarrow(t *testing.T) {
	for _, x := range []struct {
		link, processor int
		packs           bool
		carries         int
	}{{2200, 192, true, 88}, {2200, 0, false, 0}, {0, 192, false, 192}, {4000, 32, false, 32}, {100000, 512, false, 512}, {2000000, 624, false, 624}, {1, 1, true, 1}} {
		o := Options{LinkKbits: x.link, MilliCores: x.processor}
		assert.Equal(t, o.CompressStreams(), x.packs, "%d Kbit/s, %d thousandths", x.link, x.processor)
		assert.Equal(t, o.ClientCapacity(), x.carries)
	}
}
