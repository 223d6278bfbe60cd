package fleet

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
	"postjunction/internal/testing/sim"
)

// Clients of real processes send under keys and withdraw. Meanwhile the links of one router are cut
// and restored, with its clients still connected, and another router is paused and resumed. No
// withdrawn message may arrive after the acknowledgement, and no other message may be lost.
func TestWithdrawalsWhileARouterIsCutOffAndComesBack(t *testing.T) {
	fleet, err := New(build(t), t.ArtifactDir(), Sites["small"], 0, false, func(options *settings.Options) {
		if options.Disk == settings.DiskNone {
			address, err := freePort()
			assert.NilError(t, err)
			options.ClientListen = address
		}
	})
	assert.NilError(t, err)
	assert.NilError(t, fleet.Start())
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		for _, process := range fleet.Processes {
			process.Kill()
			if t.Failed() {
				t.Logf("%s:\n%s", process.Name, process.logContents())
			}
		}
	})
	go fleet.Watch(ctx)
	timing := settings.DefaultTiming
	for start := time.Now(); !fleet.AllReady(); wait(ctx, 100*time.Millisecond) {
		assert.Assert(t, time.Since(start) < 30*time.Second, "not ready: %s", fleet.unready())
	}
	day := &Day{Load: sim.Load{Topics: 12, LiveTopics: 1, SendInterval: time.Second}, Out: testWriter{t}}
	_, err = day.putFirstConfiguration(ctx, fleet)
	assert.NilError(t, err)
	wait(ctx, timing.Spread)
	sessions := fleet.StartSessions(ctx, 16, day.Load, 7)
	wait(ctx, 2*time.Second)
	calm := time.Now()
	wait(ctx, 5*time.Second)
	cut := time.Now()
	healOutgoing, healIncoming := fleet.Relay.Cut("a1", wildcard), fleet.Relay.Cut(wildcard, "a1")
	wait(ctx, 5*time.Second)
	healOutgoing()
	healIncoming()
	healed := time.Now()
	wait(ctx, 3*time.Second)
	fleet.Get("a2").Signal(syscall.SIGSTOP, false)
	wait(ctx, 3*time.Second)
	fleet.Get("a2").Signal(syscall.SIGCONT, false)
	wait(ctx, 2*time.Second)
	tally, violations := sessions.Stop(2 * timing.Recovery / 3)
	for _, violation := range violations {
		t.Errorf("%s: %s", violation.Rule, violation.Message)
	}
	for name, span := range map[string][2]time.Time{"calm": {calm, cut}, "with a router cut off": {cut, healed}} {
		latencies, open := sessions.Checker.WithdrawalLatencies(span[0], span[1])
		t.Logf("%s: %d withdrawals acknowledged, p50 %s p99 %s, %d not", name, len(latencies), quantile(latencies, 0.5),
			quantile(latencies, 0.99), open)
	}
	t.Logf("%+v", tally)
	assert.Assert(t, tally.Accepted > 100 && tally.Got > 300 && tally.Forgotten > 10 && tally.Covered > 10,
		"too few messages to prove anything")
	_, held, _ := fleet.Relay.Counts()
	assert.Assert(t, held > 0, "void: nothing was cut")
}

func quantile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return durations[int(fraction*float64(len(durations)-1))]
}
