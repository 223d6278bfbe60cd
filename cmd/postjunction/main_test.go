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

// TestMain lets the test binary act as the command, so that the tests see the exit codes and output
// streams of a real process.
func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Compares what the command line prints to which stream, and its exit codes, with the golden file.
func TestHelpAndExitCodes(t *testing.T) {
	runs := [][]string{
		{}, {"help"}, {"dance"}, {"check"}, {"check", "-h"}, {"check", "-dance"},
		{"check", "surplus"}, {"serve", "-h"}, {"serve"}, {"serve", "-options", "no-such-file"},
		{"platform"}, {"send"}, {"why", "a", "b"}, {"status", "-at", "127.0.0.1:1"},
		{"check", "-name", "a1", "-zone", "z1", "-seeds", "127.0.0.1:7500"},
	}
	for _, verb := range slices.Sorted(maps.Keys(cli.Verbs)) {
		runs = append(runs, []string{verb, "-h"})
	}
	var out strings.Builder
	for _, args := range runs {
		command := exec.CommandContext(t.Context(), os.Args[0], args...)
		var stdout, stderr bytes.Buffer
		command.Stdout, command.Stderr = &stdout, &stderr
		command.Env = []string{
			asCommand + "=1", platform.SettingsVariable + "=no-such-file", "GORACE=atexit_sleep_ms=0",
		}
		code := 0
		var exitErr *exec.ExitError
		if err := command.Run(); errors.As(err, &exitErr) {
			code = exitErr.ExitCode()
		} else {
			assert.NilError(t, err)
		}
		fmt.Fprintf(&out, "$ postjunction %s\nexit %d\n", strings.Join(args, " "), code)
		for i, b := range []*bytes.Buffer{&stdout, &stderr} {
			if b.Len() > 0 {
				fmt.Fprintf(&out, "stream %d:\n%s\n", i+1, b)
			}
		}
	}
	golden.Assert(t, out.String(), "help.golden")
}
