package acceptor

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/control/voters"
	"postjunction/internal/disk/journal"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/recordtype"
)

// slowDisk takes no sync to its end while it is held.
type slowDisk struct {
	*memlog.Disk
	held chan chan struct{}
}

func (d *slowDisk) Sync() error {
	select {
	case c := <-d.held:
		<-c
	default:
	}
	return d.Disk.Sync()
}

// hold stops the disk at its next sync, until the function is called.
func (d *slowDisk) hold() func() {
	c := make(chan struct{})
	d.held <- c
	return func() { close(c) }
}

// Whoever asks a voter may stop waiting for its disk. What the voter was asked to keep comes to stand all the same, and what it promises next
// must go by that: it went by what stood before, and wrote that over an accepted value.
func TestAnAskerThatGivesUpLeavesNoStaleSlot(t *testing.T) {
	for name, next := range map[string]func(v *Acceptor) (Slot, error){
		"a promise comes next": func(v *Acceptor) (Slot, error) {
			a, err := v.Promise(ctx, &PromiseRequest{Target: ballot("k"), Epoch: at(2, "c2")})
			return a.Slot, err
		},
		"the same write comes again": func(v *Acceptor) (Slot, error) {
			a, err := v.Accept(ctx, &AcceptRequest{Target: ballot("k"), Epoch: at(1, "c1"), Value: Value{Version: 1, Body: []byte("a")}})
			return a.Slot, err
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &slowDisk{memlog.New(), make(chan chan struct{}, 1)}
				v := New()
				j, _, err := journal.Open(d, clock.Real{}, map[uint16]journal.Part{recordtype.Slot: v, recordtype.Roster: v}, []journal.Part{v})
				assert.NilError(t, err)
				run, end := context.WithCancel(ctx)
				defer end()
				go j.Run(run)
				v.Start("i1", j, func(voters.Set) error { return nil }, func(voters.Set) {})
				_, err = v.Bootstrap(ctx, &BootstrapRequest{Incarnation: "i1", VoterSet: first()})
				assert.NilError(t, err)
				_, err = v.Activate(ctx, &ActivateRequest{Incarnation: "i1", VoterSet: first(), Bootstrap: true})
				assert.NilError(t, err)
				promise(t, v, at(1, "c1"))
				accept(t, v, at(1, "c1"), 1, "a")
				release := d.hold()
				cx, leave := context.WithCancel(ctx)
				gone := make(chan error, 1)
				go func() {
					_, err := v.Accept(cx, &AcceptRequest{Target: ballot("k"), Epoch: at(1, "c1"), Value: Value{Version: 2, Body: []byte("b")}})
					gone <- err
				}()
				synctest.Wait()
				leave()
				assert.Assert(t, <-gone != nil)
				var s Slot
				done := make(chan error, 1)
				go func() {
					var err error
					s, err = next(v)
					done <- err
				}()
				synctest.Wait()
				release()
				assert.NilError(t, <-done)
				assert.Equal(t, s.Value.Version, uint64(2))
				p, err := v.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1", Keys: []string{"k"}})
				assert.NilError(t, err)
				assert.Equal(t, p.Slots["k"].Value.Version, uint64(2))
				assert.Equal(t, string(p.Slots["k"].Value.Body), "b")
			})
		})
	}
}
