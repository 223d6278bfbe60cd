package main

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"postjunction/internal/command/cli"
	"postjunction/platform"
)

const asCommand = "POSTJUNCTION_TEST_AS_COMMAND"

// TestMain lets the test binary be the command itself, so that exit codes and streams are those
// of a process.
func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// What the command line prints, to which stream, and with which exit code it ends.
func TestHelpAndExitCodes(t *testing.T) {
	runs := [][]string{
		{}, {"help"}, {"dance"}, {"check"}, {"check", "-h"}, {"check", "-dance"},
		{"check", "surplus"}, {"serve", "-h"}, {"serve"}, {"serve", "-options", "no-such-file"},
		{"platform"}, {"send"}, {"why", "a", "b"}, {"status", "-at", "127.0.0.1:1"},
		{"check", "-name", "a1", "-zone", "z1", "-seeds", "127.0.0.1:7500"},
	}
	for _, v := range slices.Sorted(maps.Keys(cli.Verbs)) {
		runs = append(runs, []string{v, "-h"})
	}
	var out strings.Builder
	for _, args := range runs {
		c := exec.CommandContext(t.Context(), os.Args[0], args...)
		var say, errs bytes.Buffer
		c.Stdout, c.Stderr = &say, &errs
		c.Env = []string{
			asCommand + "=1", platform.SettingsVariable + "=no-such-file", "GORACE=atexit_sleep_ms=0",
		}
		code := 0
		var bad *exec.ExitError
		if err := c.Run(); errors.As(err, &bad) {
			code = bad.ExitCode()
		} else {
			assert.NilError(t, err)
		}
		fmt.Fprintf(&out, "$ postjunction %s\nexit %d\n", strings.Join(args, " "), code)
		for i, b := range []*bytes.Buffer{&say, &errs} {
			if b.Len() > 0 {
				fmt.Fprintf(&out, "stream %d:\n%s\n", i+1, b)
			}
		}
	}
	golden.Assert(t, out.String(), "help.golden")
}
