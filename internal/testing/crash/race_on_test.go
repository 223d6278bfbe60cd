//go:build race

package crash

const raceEnabled = true
