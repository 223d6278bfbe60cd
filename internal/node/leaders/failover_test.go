package leaders

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A partition has at most one claim at a time, and at most maxClaims partitions are being claimed.
func TestClaims_AreBounded(t *testing.T) {
	var ongoing claims
	for partition := range maxClaims {
		assert.Assert(t, ongoing.begin(partition))
		assert.Assert(t, !ongoing.begin(partition))
	}
	assert.Assert(t, !ongoing.begin(maxClaims))
	ongoing.end(7)
	assert.Assert(t, ongoing.begin(maxClaims))
	assert.Assert(t, !ongoing.begin(7))
}
