package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
	"postjunction/internal/testing/sim"
)

// Runs a short soak of real processes with a fixed seed: sequential and overlapping faults, the
// first ones while the fleet starts, operators that race, and clients that use their connections
// until the processes end. cmd/fleet runs a soak of any length.
func TestSoak_FixedSeed(t *testing.T) {
	fleet, err := New(build(t), t.ArtifactDir(), SoakSite(9), 0, false, func(options *settings.Options) {
		assert.NilError(t, ListenForClients(options))
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		fleet.Stop()
		if !t.Failed() {
			return
		}
		for _, process := range fleet.Processes {
			t.Logf("%s:\n%s", process.Name, process.logContents())
		}
	})
	soak := &Soak{
		Seed: 1, Length: 25 * time.Second, Clients: 24, Series: 2, Out: testWriter{t},
		Load: sim.Load{HTTPClients: 24, Topics: 24, SessionTopics: 24, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second},
	}
	report, err := soak.Run(t.Context(), fleet)
	assert.NilError(t, err)
	t.Log(report.Verdict())
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	assert.Assert(t, report.Sessions.Accepted > 100 && report.Sessions.Got > 300 && report.Orders[acknowledged] > 1 &&
		len(report.Faults) > 4, "too few messages to prove anything")
}
