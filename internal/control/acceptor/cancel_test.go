package acceptor

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/disk/memlog"
)

// slowDisk completes no sync while it is blocked.
type slowDisk struct {
	*memlog.Disk
	blocked chan chan struct{}
}

func (d *slowDisk) Sync() error {
	select {
	case released := <-d.blocked:
		<-released
	default:
	}
	return d.Disk.Sync()
}

// block blocks the disk at its next sync until release is called.
func (d *slowDisk) block() (release func()) {
	released := make(chan struct{})
	d.blocked <- released
	return func() { close(released) }
}

// A caller may stop waiting for a voter's disk, and the voter's write still completes. The next
// request must see the slot of that write. A voter that still used the slot from before the write
// would overwrite an accepted value.
func TestCallerThatGivesUpLeavesNoStaleSlot(t *testing.T) {
	for name, nextCall := range map[string]func(*Acceptor) (*SlotResponse, error){
		"a promise comes next": func(a *Acceptor) (*SlotResponse, error) {
			return a.Promise(ctx, &PromiseRequest{Target: targetOf("k"), Epoch: epochOf(2, "c2")})
		},
		"the same write comes again": func(a *Acceptor) (*SlotResponse, error) {
			value := Value{Version: 1, Body: []byte("a")}
			return a.Accept(ctx, &AcceptRequest{Target: targetOf("k"), Epoch: epochOf(1, "c1"), Value: value})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSlotAfterCancel(t, nextCall) })
		})
	}
}

func checkSlotAfterCancel(t *testing.T, nextCall func(*Acceptor) (*SlotResponse, error)) {
	t.Helper()
	disk := &slowDisk{memlog.New(), make(chan chan struct{}, 1)}
	a := startActivated(t, disk)
	promise(t, a, epochOf(1, "c1"))
	accept(t, a, epochOf(1, "c1"), 1, "a")
	release := disk.block()
	callCtx, cancelCall := context.WithCancel(ctx)
	callErr := make(chan error, 1)
	go func() {
		value := Value{Version: 2, Body: []byte("b")}
		_, err := a.Accept(callCtx, &AcceptRequest{Target: targetOf("k"), Epoch: epochOf(1, "c1"), Value: value})
		callErr <- err
	}()
	synctest.Wait()
	cancelCall()
	assert.Assert(t, <-callErr != nil)
	var response *SlotResponse
	done := make(chan error, 1)
	go func() {
		var err error
		response, err = nextCall(a)
		done <- err
	}()
	synctest.Wait()
	release()
	assert.NilError(t, <-done)
	assert.Equal(t, response.Slot.Value.Version, uint64(2))
	stored, err := a.Peek(ctx, &PeekRequest{VoterSet: 1, Incarnation: "i1", Keys: []string{"k"}})
	assert.NilError(t, err)
	assert.Equal(t, stored.Slots["k"].Value.Version, uint64(2))
	assert.Equal(t, string(stored.Slots["k"].Value.Body), "b")
}
