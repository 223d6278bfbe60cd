package sim

import (
	"os"
	"strconv"
	"testing"
)

// skipUnderRace skips a test under the race detector, which slows simulated fleets tenfold. test.sh
// runs them without it too.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("runs without the race detector, which slows simulated fleets too much")
	}
}

// seeds returns how many seeds a test runs: n, times PJ_MANY when that is set, and one under the
// race detector.
func seeds(n int) int {
	if raced {
		return 1
	}
	if factor, err := strconv.Atoi(os.Getenv("PJ_MANY")); err == nil && factor > 0 {
		return n * factor
	}
	return n
}
