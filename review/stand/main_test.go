//go:build review

// Package stand has the stand-ins of the review: the users' platform, clients and operator, against
// the project's own program as separate processes.
package stand

import (
	"fmt"
	"os"
	"testing"
)

// cases are what the program can be asked to do, by name. Each returns 1 if a rule was broken, 0 if
// it held, and 2 if it couldn't run.
var cases = map[string]func(dir string, args []string) int{}

func TestMain(*testing.M) {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER ...")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Args[3:]))
}
