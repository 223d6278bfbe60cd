package nodelease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/settings"
)

// A description that reaches everybody is no news of anybody: nodes are told only who has had an older one for longer than a lease, and that it has no longer.
func TestOnlyWhoLagsBehindADescriptionIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultTiming
		seq := uint64(7)
		h := &Server{Self: "c1", Clock: clock.Real{}, Timing: b, Table: membership.NewTable(clock.Real{}, b), Store: gossip.NewStore(nil), LatestConfirmation: func() Confirmation {
			return Confirmation{OK: true, Sequence: seq, At: time.Now()}
		}}
		has := map[string]uint64{"a1": 7, "a2": 7, "a3": 7}
		var c membership.ListReplica
		told := func(heartbeats int) (news []membership.Info) {
			for range heartbeats {
				time.Sleep(b.HeartbeatInterval())
				for _, n := range []string{"a1", "a2", "a3"} {
					m := c.Version()
					a, err := h.Heartbeat(context.Background(), &HeartbeatRequest{Info: membership.Info{Name: n, BootID: "1", Stage: membership.Serving, Configuration: has[n]}, KnownVersion: &m})
					assert.NilError(t, err)
					assert.Equal(t, len(a.Change.ConfigurationOnly), 0)
					if n == "a1" {
						assert.Assert(t, c.Apply(*a.Change))
						news = append(append(news, a.Change.Updated...), make([]membership.Info, len(a.Change.Removed))...)
					}
				}
			}
			return news
		}
		lease := int(b.LeaseDuration()/b.HeartbeatInterval()) + 2
		assert.Equal(t, len(told(lease)), 3)
		seq, has["a1"], has["a2"] = 8, 8, 8
		assert.Equal(t, len(told(lease-3)), 0, "within a licence nobody is behind")
		late := told(3)
		assert.Assert(t, len(late) == 1 && late[0].Name == "a3" && late[0].ConfigurationStale && late[0].Configuration == 0, "%+v", late)
		assert.Equal(t, len(told(lease)), 0)
		has["a3"] = 8
		late = told(2)
		assert.Assert(t, len(late) == 1 && late[0].Name == "a3" && !late[0].ConfigurationStale, "%+v", late)
		for range 5 {
			seq++
			has = map[string]uint64{"a1": seq, "a2": seq, "a3": seq}
			assert.Equal(t, len(told(1)), 0)
		}
		assert.Equal(t, len(c.All()), 3)
	})
}
