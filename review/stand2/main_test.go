//go:build review

// Package stand2 has the stand-ins of the cases 6 to 10: a small deployment of real processes, line
// clients and an operator. It is built as a program (review/build-2.sh), and TestMain is its main.
package stand2

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// cases has the function of each case, by the name that its run.sh passes.
var cases = map[string]func(*run) verdict{}

// verdict is the exit code of a case.
type verdict int

const (
	held    verdict = 0
	broken  verdict = 1
	couldNt verdict = 2
)

// TestMain runs one case: NAME FOLDER. It writes record.txt to the folder and exits with the
// verdict.
func TestMain(*testing.M) {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE FOLDER")
		os.Exit(int(couldNt))
	}
	os.Exit(int(execute(os.Args[1], os.Args[2])))
}

func execute(name, folder string) (result verdict) {
	r, err := newRun(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNt
	}
	defer func() {
		if failure := recover(); failure != nil {
			r.note("could not run: %v", failure)
			result = couldNt
		}
		r.fleet.end()
		r.note("verdict %d", result)
		r.close()
	}()
	return cases[name](r)
}
