package fleet

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"postjunction/internal/settings"
	"postjunction/internal/testing/sim"
)

func build(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "postjunction")
	out, err := exec.Command("go", "build", "-o", bin, "postjunction/cmd/postjunction").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return bin
}

func start(t *testing.T, bin string) *Fleet {
	fleet, err := New(bin, t.ArtifactDir(), Sites["small"], 0, false, nil)
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	t.Cleanup(func() {
		for _, process := range fleet.Processes {
			process.Kill()
			if t.Failed() {
				t.Logf("%s:\n%s", process.Name, process.logContents())
			}
		}
	})
	return fleet
}

// Runs a day of real processes in which machines are killed and stopped.
func TestDayWithKills(t *testing.T) {
	fleet := start(t, build(t))
	day := &Day{Load: sim.Load{HTTPClients: 40, Topics: 30, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second}, Seed: 5,
		Length: 24 * time.Second, Interval: 4 * time.Second, Faults: []string{"kill", "stop"}, Out: testWriter{t}}
	report, err := day.Run(context.Background(), fleet)
	assert.NilError(t, err)
	for _, violation := range report.Violations {
		t.Errorf("%s: %s", violation.Rule, violation.Message)
	}
	assert.Assert(t, report.Accepted > 300, "accepted %d", report.Accepted)
	t.Logf("accepted %d receipts %d longest wait to be accepted %s, longest wait %s (%s at %s from %s on), "+
		"undisturbed %s, the host stalled for %s",
		report.Accepted, report.Receipts, max(report.Routine.Max, report.Urgent.Max),
		report.Longest.Total, report.Longest.Kind, report.Longest.Place, report.Longest.From.Format("04:05.000"),
		report.LongestUndisturbed.Undisturbed, day.Stalled)
	assert.Assert(t, report.LongestUndisturbed.Undisturbed < settings.DefaultTiming.Recovery,
		"%s at %s waited %s without a new fault", report.LongestUndisturbed.Kind, report.LongestUndisturbed.Place,
		report.LongestUndisturbed.Undisturbed)
	// If the host stalled, the length of a whole wait says nothing about the fleet.
	assert.Assert(t, day.Stalled > 0 || max(report.Routine.Max, report.Urgent.Max) < settings.DefaultTiming.Recovery,
		"a client waited %s", max(report.Routine.Max, report.Urgent.Max))
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(b)))
	return len(b), nil
}

func logged(process *Process, text string) poll.Check {
	return func(poll.LogT) poll.Result {
		b, err := os.ReadFile(filepath.Join(process.dir, process.Name+".log"))
		if err == nil && strings.Contains(string(b), text) {
			return poll.Success()
		}
		return poll.Continue("%s has not logged %q", process.Name, text)
	}
}

// Settings changed under a running node are applied, or rejected as a whole.
func TestSettingsChangeUnderARunningNode(t *testing.T) {
	fleet := start(t, build(t))
	process := fleet.Get("a1")
	poll.WaitOn(t, logged(process, "event=101"), poll.WithTimeout(10*time.Second))
	options := process.Opts
	options.Backlog = 99
	assert.NilError(t, process.Write(options))
	poll.WaitOn(t, logged(process, "event=104"), poll.WithTimeout(10*time.Second))
	options.Zone, options.Backlog = "z2", 100
	assert.NilError(t, process.Write(options))
	poll.WaitOn(t, logged(process, `field \"zone\" can't change`), poll.WithTimeout(10*time.Second))
	assert.NilError(t, os.WriteFile(process.file, []byte("{"), 0o600))
	poll.WaitOn(t, logged(process, "unexpected EOF"), poll.WithTimeout(10*time.Second))
}

// Guards against a fleet that is never ready: a port from the range that the system assigns by
// itself may be in use by a relay or a connection before the process that is given it starts.
func TestPortsLieBelowThoseTheSystemGivesOut(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := freePort()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was returned twice", address)
		seen[address] = true
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number >= portsFrom && number < portsTo, "%d", number)
	}
}
