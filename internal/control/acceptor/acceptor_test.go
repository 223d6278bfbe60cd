package acceptor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/epoch"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

var ctx = context.Background()

// start runs an acceptor with the state restored from a disk.
func start(t *testing.T, disk journal.Log, incarnation string) *Acceptor {
	t.Helper()
	a := New()
	parts := map[uint16]journal.Part{recordtype.Slot: a, recordtype.VoterSet: a}
	diskJournal, _, err := journal.Open(disk, clock.Real{}, parts, []journal.Part{a})
	assert.NilError(t, err)
	runCtx, stop := context.WithCancel(ctx)
	t.Cleanup(stop)
	go diskJournal.Run(runCtx)
	a.Start(incarnation, diskJournal, func(voters.Set) error { return nil }, func(voters.Set) {})
	return a
}

func firstVoterSet() voters.Set {
	return voters.NewSet([]voters.Voter{
		{Node: "c1", Incarnation: "i1"}, {Node: "c2", Incarnation: "i2"}, {Node: "c3", Incarnation: "i3"},
	}, voters.Layout{RoutinePartitions: 2, UrgentPartitions: 1})
}

// startActivated runs an acceptor on the fresh disk i1, with the first voter set activated.
func startActivated(t *testing.T, disk journal.Log) *Acceptor {
	t.Helper()
	a := start(t, disk, "i1")
	first := firstVoterSet()
	_, err := a.Bootstrap(ctx, &BootstrapRequest{Incarnation: "i1", VoterSet: first})
	assert.NilError(t, err)
	_, err = a.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: first, Bootstrap: true})
	assert.NilError(t, err)
	return a
}

func epochOf(number uint64, node string) epoch.Epoch { return epoch.Epoch{Number: number, Node: node} }

func targetOf(key string) Target { return Target{VoterSet: 1, Incarnation: "i1", Key: key} }

func promise(t *testing.T, a *Acceptor, requested epoch.Epoch) *SlotResponse {
	t.Helper()
	response, err := a.Promise(ctx, &PromiseRequest{Target: targetOf("k"), Epoch: requested})
	assert.NilError(t, err)
	return response
}

func accept(t *testing.T, a *Acceptor, requested epoch.Epoch, version uint64, body string) *SlotResponse {
	t.Helper()
	value := Value{Version: version, Body: []byte(body)}
	response, err := a.Accept(ctx, &AcceptRequest{Target: targetOf("k"), Epoch: requested, Value: value})
	assert.NilError(t, err)
	return response
}

func TestPromiseAndAcceptAcrossPowerLoss(t *testing.T) {
	disk := memlog.New()
	a := startActivated(t, disk)
	assert.Assert(t, promise(t, a, epochOf(2, "c1")).Granted)
	assert.Assert(t, !promise(t, a, epochOf(1, "c3")).Granted)
	assert.Assert(t, !accept(t, a, epochOf(1, "c3"), 1, "old").Granted)
	assert.Assert(t, accept(t, a, epochOf(2, "c1"), 1, "one").Granted)
	assert.Assert(t, accept(t, a, epochOf(2, "c1"), 2, "two").Granted)
	assert.Assert(t, !accept(t, a, epochOf(2, "c1"), 1, "one").Granted, "a delayed write of the same epoch")
	disk.LosePower(true)
	a = start(t, disk, "i1")
	assert.Assert(t, !promise(t, a, epochOf(2, "c0")).Granted, "the promise did not survive the power loss")
	response := promise(t, a, epochOf(3, "c2"))
	assert.Assert(t, response.Granted)
	assert.Equal(t, string(response.Slot.Value.Body), "two")
	assert.Assert(t, !accept(t, a, epochOf(2, "c1"), 3, "three").Granted, "a superseded leader")
}

func TestWipedDiskHasNoVoteUnderItsOldName(t *testing.T) {
	disk := memlog.New()
	startActivated(t, disk)
	disk.Wipe()
	a := start(t, disk, "i9")
	_, err := a.Promise(ctx, &PromiseRequest{Target: targetOf("k"), Epoch: epochOf(1, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = a.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: firstVoterSet()})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
}

func TestVoterSetSequenceVoidsRequestsUnderOthers(t *testing.T) {
	a := startActivated(t, memlog.New())
	nextTarget := targetOf("k")
	nextTarget.VoterSet = 2
	_, err := a.Accept(ctx, &AcceptRequest{Target: nextTarget, Epoch: epochOf(9, "c1"), Value: Value{Version: 1}})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	second := firstVoterSet().Replace(voters.Voter{Node: "c3", Incarnation: "j3"})
	copies := map[string]Slot{"k": {Accepted: epochOf(4, "c2"), Value: Value{Version: 7}}}
	_, err = a.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: second, Slots: copies})
	assert.NilError(t, err)
	_, err = a.Promise(ctx, &PromiseRequest{Target: targetOf("k"), Epoch: epochOf(9, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	response, err := a.Promise(ctx, &PromiseRequest{Target: nextTarget, Epoch: epochOf(4, "c1")})
	assert.NilError(t, err)
	assert.Assert(t, !response.Granted, "an epoch below the accepted one")
	_, err = a.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: firstVoterSet()})
	assert.NilError(t, err)
	assert.Equal(t, a.VoterSet().Sequence, uint64(2), "the voter set never changes to an older one")
}

func TestSealedVoterAnswersNothingOlder(t *testing.T) {
	a := startActivated(t, memlog.New())
	seal := Value{Version: 1, Body: []byte("{}")}
	response, err := a.Accept(ctx, &AcceptRequest{Target: targetOf(VoterSetKey), Epoch: epochOf(1, "c1"), Value: seal})
	assert.NilError(t, err)
	assert.Assert(t, response.Granted)
	_, err = a.Accept(ctx, &AcceptRequest{Target: targetOf("k"), Epoch: epochOf(9, "c1"), Value: Value{Version: 1}})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = a.Promise(ctx, &PromiseRequest{Target: targetOf("k"), Epoch: epochOf(9, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = a.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1"})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = a.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1", Sealed: true})
	assert.NilError(t, err)
}
