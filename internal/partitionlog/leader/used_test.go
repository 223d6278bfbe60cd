package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/settings"
)

// An epoch that a disk has sealed is never decided under again by a new run, whoever asks for it.
func TestSealedEpochIsNotTakenOverAgain(t *testing.T) {
	ctx := t.Context()
	d := memlog.New()
	r := replica.New(clock.Real{})
	parts := map[uint16]journal.Part{}
	for _, k := range replica.RecordTypes() {
		parts[k] = r
	}
	j, _, err := journal.Open(d, clock.Real{}, parts, []journal.Part{r})
	assert.NilError(t, err)
	cx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); j.Run(cx) }()
	defer func() { stop(); <-done }()
	r.Start("i", j)
	at := replica.Target{Partition: 3, Incarnation: "i", Epoch: 5}
	_, err = r.Seal(ctx, &replica.SealRequest{Target: at})
	assert.NilError(t, err)
	o := New(Options{Self: "s1", Clock: clock.Real{}, Timing: settings.DefaultTiming, Replica: r}, assignment.Record{Partition: 3, Epoch: 5, Leader: "s1", Replicas: []assignment.Replica{{Node: "s1", Incarnation: "i"}}}, false)
	short, end := context.WithCancel(ctx)
	end()
	assert.Assert(t, apierror.HasCode(o.takeOver(short), apierror.StaleEpoch))
	assert.Equal(t, r.Sealed(3), uint64(5))
}
