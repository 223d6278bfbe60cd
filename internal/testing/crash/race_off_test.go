//go:build !race

package crash

const raceEnabled = false
