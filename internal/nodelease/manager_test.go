package nodelease

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
	"postjunction/internal/voters"
)

// A control node that is warming up and has not confirmed yet is sent another heartbeat soon. The
// session does not move.
func TestRun_WarmingUpControlNodeIsAskedAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := settings.Default()
		options.Name = "c1"
		store := gossip.NewStore(nil)
		store.Apply(gossip.Update{VoterSet: &voters.Set{Sequence: 1, Fleet: "f"}})
		info := func() membership.Info { return membership.Info{Name: "c1"} }
		confirmedFrom := time.Now().Add(options.Timing().HeartbeatInterval() * 2)
		latestConfirmation := func() Confirmation {
			return Confirmation{OK: time.Now().After(confirmedFrom), At: time.Now()}
		}
		server := newServer("c1", options.Timing(), store, latestConfirmation)
		var logged bytes.Buffer
		manager := newManager(options, store, info)
		manager.Local = server
		manager.Log = event.NewLogger(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &logged}))
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			manager.Run(ctx)
		}()
		time.Sleep(options.Timing().HeartbeatInterval()*2 + options.Timing().HeartbeatInterval()/2)
		synctest.Wait()
		assert.NilError(t, manager.CheckLease(),
			"a lease within half a heartbeat interval after the first confirmation")
		assert.Equal(t, manager.ControlNode(), "c1")
		stop()
		<-done
		assert.Assert(t, !strings.Contains(logged.String(), event.SessionMoved.Text), "%s", logged.String())
	})
}
