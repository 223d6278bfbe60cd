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
	f, err := New(bin, t.ArtifactDir(), Sites["small"], 0, false, nil)
	assert.NilError(t, err)
	assert.NilError(t, f.Start())
	t.Cleanup(func() {
		for _, p := range f.Processes {
			p.Kill()
			if t.Failed() {
				t.Logf("%s:\n%s", p.Name, p.logContents())
			}
		}
	})
	return f
}

// A day of real processes with one machine of each kind killed.
func TestDayWithKills(t *testing.T) {
	f := start(t, build(t))
	d := &Day{Load: sim.Load{HTTPClients: 40, Topics: 30, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second}, Seed: 5,
		Length: 24 * time.Second, Interval: 4 * time.Second, Faults: []string{"kill", "stop"}, Out: testWriter{t}}
	r, err := d.Run(context.Background(), f)
	assert.NilError(t, err)
	for _, v := range r.Violations {
		t.Errorf("%s: %s", v.Line, v.Message)
	}
	assert.Assert(t, r.Accepted > 300, "taken %d", r.Accepted)
	t.Logf("taken %d receipts %d longest wait to be taken %s, longest wait %s (%s at %s from %s on), "+
		"undisturbed %s, the machine stood still for %s",
		r.Accepted, r.Receipts, max(r.Routine.Max, r.Urgent.Max),
		r.Longest.Total, r.Longest.Kind, r.Longest.Place, r.Longest.From.Format("04:05.000"),
		r.LongestUndisturbed.Undisturbed, d.Stalled)
	assert.Assert(t, r.LongestUndisturbed.Undisturbed < settings.DefaultTiming.Recovery,
		"%s at %s waited %s with nothing new going wrong", r.LongestUndisturbed.Kind, r.LongestUndisturbed.Place,
		r.LongestUndisturbed.Undisturbed)
	// Where the machine under the fleet stood still by itself, the wait as a whole says nothing of
	// the fleet.
	assert.Assert(t, d.Stalled > 0 || max(r.Routine.Max, r.Urgent.Max) < settings.DefaultTiming.Recovery,
		"a caller waited %s", max(r.Routine.Max, r.Urgent.Max))
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(b)))
	return len(b), nil
}

func logged(p *Process, what string) poll.Check {
	return func(poll.LogT) poll.Result {
		b, err := os.ReadFile(filepath.Join(p.dir, p.Name+".log"))
		if err == nil && strings.Contains(string(b), what) {
			return poll.Success()
		}
		return poll.Continue("%s has not logged %q", p.Name, what)
	}
}

// Settings changed under a running node are applied, or turned away whole.
func TestSettingsChangeUnderARunningNode(t *testing.T) {
	f := start(t, build(t))
	p := f.Get("a1")
	poll.WaitOn(t, logged(p, "event=101"), poll.WithTimeout(10*time.Second))
	o := p.Opts
	o.Backlog = 99
	assert.NilError(t, p.Write(o))
	poll.WaitOn(t, logged(p, "event=104"), poll.WithTimeout(10*time.Second))
	o.Zone, o.Backlog = "z2", 100
	assert.NilError(t, p.Write(o))
	poll.WaitOn(t, logged(p, `field \"zone\" can't change`), poll.WithTimeout(10*time.Second))
	assert.NilError(t, os.WriteFile(p.file, []byte("{"), 0o600))
	poll.WaitOn(t, logged(p, "unexpected EOF"), poll.WithTimeout(10*time.Second))
}

// Ports came from the range that the system gives out by itself; a relay or a connection could take
// one before its process started, and the fleet was never ready.
func TestPortsLieBelowThoseTheSystemGivesOut(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		a, err := freePort()
		assert.NilError(t, err)
		assert.Assert(t, !seen[a], "%s was given twice", a)
		seen[a] = true
		_, port, err := net.SplitHostPort(a)
		assert.NilError(t, err)
		n, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, n >= portsFrom && n < portsTo, "%d", n)
	}
}
