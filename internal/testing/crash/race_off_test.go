//go:build !race

package crash

const raced = false
