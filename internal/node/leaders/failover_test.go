package leaders

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A partition is claimed once at a time, and no more than maxClaims partitions are.
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
