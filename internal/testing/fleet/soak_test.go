package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
	"postjunction/internal/testing/sim"
)

// A soak of real processes, short and under a fixed seed: faults in series and overlapping, the
// first ones while the fleet starts, operators that race, and clients that use their connections
// until the processes are gone. cmd/fleet has it at any length.
func TestSoak_FixedSeed(t *testing.T) {
	f, err := New(build(t), t.ArtifactDir(), SoakSite(9), 0, false, func(o *settings.Options) {
		assert.NilError(t, ListenForClients(o))
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		f.Stop()
		if !t.Failed() {
			return
		}
		for _, p := range f.Processes {
			t.Logf("%s:\n%s", p.Name, p.logContents())
		}
	})
	s := &Soak{
		Seed: 1, Length: 25 * time.Second, Clients: 24, Series: 2, Out: testWriter{t},
		Load: sim.Load{HTTPClients: 24, Topics: 24, SessionTopics: 24, LiveTopics: 4, UrgentSenders: 2, SendInterval: time.Second},
	}
	report, err := s.Run(t.Context(), f)
	assert.NilError(t, err)
	t.Log(report.Verdict())
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	assert.Assert(t, report.Sessions.Accepted > 100 && report.Sessions.Got > 300 && report.Orders[acknowledged] > 1 &&
		len(report.Faults) > 4, "too little was seen to prove anything")
}
