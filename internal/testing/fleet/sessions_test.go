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

// Real processes: visitors carry keys and withdraw while a router is cut off with its visitors
// still connected and comes back, and then is paused and goes on. Nothing withdrawn is shown after
// its yes, nothing else is lost.
func TestWithdrawalsWhileARouterIsCutOffAndComesBack(t *testing.T) {
	f, err := New(build(t), t.ArtifactDir(), Sites["small"], 0, false, func(o *settings.Options) {
		if o.Disk == settings.DiskNone {
			a, err := freePort()
			assert.NilError(t, err)
			o.ClientListen = a
		}
	})
	assert.NilError(t, err)
	assert.NilError(t, f.Start())
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		for _, p := range f.Processes {
			p.Kill()
			if t.Failed() {
				t.Logf("%s:\n%s", p.Name, p.logContents())
			}
		}
	})
	go f.Watch(ctx)
	b := settings.DefaultTiming
	for at := time.Now(); !f.AllReady(); wait(ctx, 100*time.Millisecond) {
		assert.Assert(t, time.Since(at) < 30*time.Second, "not ready: %s", f.unready())
	}
	d := &Day{Load: sim.Load{Topics: 12, LiveTopics: 1, SendInterval: time.Second}, Out: testWriter{t}}
	_, err = d.begin(ctx, f)
	assert.NilError(t, err)
	wait(ctx, b.Spread)
	v := f.StartSessions(ctx, 16, d.Load, 7)
	wait(ctx, 2*time.Second)
	calm := time.Now()
	wait(ctx, 5*time.Second)
	cut := time.Now()
	back, forth := f.Relay.Cut("a1", all), f.Relay.Cut(all, "a1")
	wait(ctx, 5*time.Second)
	back()
	forth()
	mended := time.Now()
	wait(ctx, 3*time.Second)
	f.Get("a2").Signal(syscall.SIGSTOP, false)
	wait(ctx, 3*time.Second)
	f.Get("a2").Signal(syscall.SIGCONT, false)
	wait(ctx, 2*time.Second)
	r, bs := v.Stop(2 * b.Recovery / 3)
	for _, x := range bs {
		t.Errorf("%s: %s", x.Rule, x.Message)
	}
	for n, s := range map[string][2]time.Time{"calm": {calm, cut}, "with a router cut off": {cut, mended}} {
		ds, open := v.Checker.Marks(s[0], s[1])
		t.Logf("%s: %d withdrawals told to be forgotten, p50 %s p99 %s, %d not", n, len(ds), quantile(ds, 0.5),
			quantile(ds, 0.99), open)
	}
	t.Logf("%+v", r)
	assert.Assert(t, r.Accepted > 100 && r.Got > 300 && r.Forgotten > 10 && r.Covered > 10,
		"too little was seen to prove anything")
	_, held, _ := f.Relay.Counts()
	assert.Assert(t, held > 0, "void: nothing was cut")
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	return ds[int(q*float64(len(ds)-1))]
}
