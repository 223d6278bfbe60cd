package leader

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/settings"
)

// A node never leads under an epoch that its disk had already sealed, as an earlier run may have
// decided under it.
func TestRecover_SealedEpochIsNeverUsedAgain(t *testing.T) {
	ctx := t.Context()
	disk := memlog.New()
	local := replica.New(clock.Real{})
	parts := map[uint16]journal.Part{}
	for _, recordType := range replica.RecordTypes() {
		parts[recordType] = local
	}
	opened, _, err := journal.Open(disk, clock.Real{}, parts, []journal.Part{local})
	assert.NilError(t, err)
	runCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() { defer close(done); opened.Run(runCtx) }()
	defer func() { stop(); <-done }()
	local.Start("i", opened)
	target := replica.Target{Partition: 3, Incarnation: "i", Epoch: 5}
	_, err = local.Seal(ctx, &replica.SealRequest{Target: target})
	assert.NilError(t, err)
	leader := New(
		Options{Self: "s1", Clock: clock.Real{}, Timing: settings.DefaultTiming, Replica: local},
		assignment.Record{
			Partition: 3, Epoch: 5, Leader: "s1",
			Replicas: []assignment.Replica{{Node: "s1", Incarnation: "i"}},
		},
		false,
	)
	endedCtx, end := context.WithCancel(ctx)
	end()
	assert.Assert(t, apierror.HasCode(leader.recoverPartition(endedCtx), apierror.StaleEpoch))
	assert.Equal(t, local.Sealed(3), uint64(5))
}
