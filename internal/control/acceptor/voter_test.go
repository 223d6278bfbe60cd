package acceptor

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/control/epoch"
	"postjunction/internal/control/voters"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/recordtype"
)

var ctx = context.Background()

func boot(t *testing.T, d *memlog.Disk, inc string) *Acceptor {
	v := New()
	j, _, err := journal.Open(d, clock.Real{}, map[uint16]journal.Part{recordtype.Slot: v, recordtype.Roster: v}, []journal.Part{v})
	assert.NilError(t, err)
	cx, stop := context.WithCancel(ctx)
	t.Cleanup(stop)
	go j.Run(cx)
	v.Start(inc, j, func(voters.Set) error { return nil }, func(voters.Set) {})
	return v
}

func first() voters.Set {
	return voters.NewSet([]voters.Voter{{Node: "c1", Incarnation: "i1"}, {Node: "c2", Incarnation: "i2"}, {Node: "c3", Incarnation: "i3"}}, voters.Layout{RoutinePartitions: 2, UrgentPartitions: 1})
}

func opened(t *testing.T, d *memlog.Disk) *Acceptor {
	v := boot(t, d, "i1")
	r := first()
	_, err := v.Bootstrap(ctx, &BootstrapRequest{Incarnation: "i1", VoterSet: r})
	assert.NilError(t, err)
	_, err = v.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: r, Bootstrap: true})
	assert.NilError(t, err)
	return v
}

func at(n uint64, node string) epoch.Epoch { return epoch.Epoch{Number: n, Node: node} }

func ballot(k string) Target { return Target{VoterSet: 1, Incarnation: "i1", Key: k} }

func promise(t *testing.T, v *Acceptor, e epoch.Epoch) *SlotResponse {
	a, err := v.Promise(ctx, &PromiseRequest{Target: ballot("k"), Epoch: e})
	assert.NilError(t, err)
	return a
}

func accept(t *testing.T, v *Acceptor, e epoch.Epoch, writes uint64, body string) *SlotResponse {
	a, err := v.Accept(ctx, &AcceptRequest{Target: ballot("k"), Epoch: e, Value: Value{Version: writes, Body: []byte(body)}})
	assert.NilError(t, err)
	return a
}

func TestPromiseAndAcceptAcrossPowerLoss(t *testing.T) {
	d := memlog.New()
	v := opened(t, d)
	assert.Assert(t, promise(t, v, at(2, "c1")).Granted)
	assert.Assert(t, !promise(t, v, at(1, "c3")).Granted)
	assert.Assert(t, !accept(t, v, at(1, "c3"), 1, "old").Granted)
	assert.Assert(t, accept(t, v, at(2, "c1"), 1, "one").Granted)
	assert.Assert(t, accept(t, v, at(2, "c1"), 2, "two").Granted)
	assert.Assert(t, !accept(t, v, at(2, "c1"), 1, "one").Granted, "a late write of the same epoch")
	d.LosePower(true)
	v = boot(t, d, "i1")
	assert.Assert(t, !promise(t, v, at(2, "c0")).Granted, "the promise was lost")
	a := promise(t, v, at(3, "c2"))
	assert.Assert(t, a.Granted)
	assert.Equal(t, string(a.Slot.Value.Body), "two")
	assert.Assert(t, !accept(t, v, at(2, "c1"), 3, "three").Granted, "a superseded holder")
}

func TestWipedDiskHasNoVoteUnderItsOldName(t *testing.T) {
	d := memlog.New()
	opened(t, d)
	d.Wipe()
	v := boot(t, d, "i9")
	_, err := v.Promise(ctx, &PromiseRequest{Target: ballot("k"), Epoch: at(1, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
	_, err = v.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: first()})
	assert.Assert(t, apierror.HasCode(err, apierror.WrongDisk), "%v", err)
}

func TestRosterSequenceVoidsOtherBallots(t *testing.T) {
	v := opened(t, memlog.New())
	b := ballot("k")
	b.VoterSet = 2
	_, err := v.Accept(ctx, &AcceptRequest{Target: b, Epoch: at(9, "c1"), Value: Value{Version: 1}})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	n := first().Replace(voters.Voter{Node: "c3", Incarnation: "j3"})
	_, err = v.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: n, Slots: map[string]Slot{"k": {Accepted: at(4, "c2"), Value: Value{Version: 7}}}})
	assert.NilError(t, err)
	_, err = v.Promise(ctx, &PromiseRequest{Target: ballot("k"), Epoch: at(9, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	a, err := v.Promise(ctx, &PromiseRequest{Target: b, Epoch: at(4, "c1")})
	assert.NilError(t, err)
	assert.Assert(t, !a.Granted, "below what was accepted")
	_, err = v.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: first()})
	assert.NilError(t, err)
	assert.Equal(t, v.VoterSet().Sequence, uint64(2), "a roster never goes back")
}

func TestSealedVoterAnswersNothingOlder(t *testing.T) {
	v := opened(t, memlog.New())
	a, err := v.Accept(ctx, &AcceptRequest{Target: ballot(VoterSetKey), Epoch: at(1, "c1"), Value: Value{Version: 1, Body: []byte("{}")}})
	assert.NilError(t, err)
	assert.Assert(t, a.Granted)
	_, err = v.Accept(ctx, &AcceptRequest{Target: ballot("k"), Epoch: at(9, "c1"), Value: Value{Version: 1}})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = v.Promise(ctx, &PromiseRequest{Target: ballot("k"), Epoch: at(9, "c1")})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = v.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1"})
	assert.Assert(t, apierror.HasCode(err, apierror.StaleVoterSet), "%v", err)
	_, err = v.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1", Sealed: true})
	assert.NilError(t, err)
}
