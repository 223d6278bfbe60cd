package nodelease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// A node that knows of a newer configuration which has not arrived has the lease without its
// extension. A node that no confirmation reaches has the extension too.
func TestCheckLease_ExtensionDoesNotCoverANewerConfiguration(t *testing.T) {
	for name, newer := range map[string]bool{"none is confirmed": false, "a newer one is confirmed": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := settings.Default()
				options.Name, options.LeaseExtension = "a1", settings.Duration(10*time.Second)
				store := gossip.NewStore(nil)
				store.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 1, Fleet: "f"}})
				info := func() membership.Info { return membership.Info{Name: "a1"} }
				confirmation := Confirmation{OK: true}
				server := newServer("a1", options.Timing(), store, func() Confirmation { return confirmation })
				manager := newManager(options, store, info)
				manager.Local = server
				assert.Assert(t, manager.CheckLease() != nil, "a node starts without a lease")
				confirmation.At = time.Now()
				assert.NilError(t, manager.heartbeat(context.Background(), info()))
				assert.NilError(t, manager.CheckLease())
				time.Sleep(time.Second)
				confirmation = Confirmation{}
				if newer {
					confirmation = Confirmation{OK: true, Sequence: 1, At: time.Now()}
				}
				assert.Assert(t, manager.heartbeat(context.Background(), info()) != nil)
				time.Sleep(options.Timing().LeaseDuration())
				assert.Equal(t, manager.CheckLease() == nil, !newer)
				assert.Assert(t, !manager.LeaseConfirmed())
				confirmation = Confirmation{}
				_ = manager.heartbeat(context.Background(), info())
				assert.Equal(t, manager.CheckLease() == nil, !newer)
				time.Sleep(time.Duration(options.LeaseExtension))
				assert.Assert(t, manager.CheckLease() != nil, "the extension ends")
			})
		})
	}
}
