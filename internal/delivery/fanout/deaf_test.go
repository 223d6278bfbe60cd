package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// A node that an owner may wait for, and that has heard of no owner for as long as service may rest, has all it holds let go before it says so under the boot that held it, three
// times at most; what is followed then goes on under another boot. Without a turn, which nobody has where nothing has a key, it goes on asking.
func TestADeafReaderLetsGoAndSaysSo(t *testing.T) {
	b := settings.DefaultTiming
	for _, x := range []struct {
		name string
		turn uint64
		key  string
		says int
	}{
		{"with keys", 3, "k", farewells},
		{"without", 0, "", 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			scripted(t, func(t *testing.T, s *scribe) {
				s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
					return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4, ReaderToken: x.turn}, 0
				})
				s.then(once(tick, message(5, x.key)))
				var y heard
				broken := 0
				a := s.h.NewSubscription(0, "a")
				a.OnOpen = func(uint64, error) {}
				a.OnEntry = func(e log.Entry) { y.got = append(y.got, e.Offset) }
				a.OnBroken = func() { broken++ }
				s.h.Subscribe(a)
				pass(2 * tick)
				assert.DeepEqual(t, y.got, []uint64{5})
				s.set(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) { return nil, time.Hour })
				var lost []func(*leader.PollRequest) (*leader.PollResponse, time.Duration)
				for range 1000 {
					lost = append(lost, func(*leader.PollRequest) (*leader.PollResponse, time.Duration) { return nil, time.Second })
				}
				s.then(lost...)
				pass(b.Recovery)
				assert.Equal(t, broken, 0)
				s.said()
				pass(b.Spread + 4*time.Second)
				l := s.said()
				for len(l) > 0 && l[0] == "poll boot 5 marks=true" {
					l = l[1:]
				}
				if x.says == 0 {
					assert.Equal(t, broken, 0)
					assert.Equal(t, len(l), 0)
					return
				}
				assert.Equal(t, broken, 1)
				done := "done boot full=true topics=0 marks=true"
				assert.DeepEqual(t, l, []string{"release 0 cut=true", done, done, done})
				s.set(tail(9))
				var z heard
				z.sub(s.h, "a", after(5))
				assert.DeepEqual(t, s.said()[0], "follow boot+1 full=true topics=1 marks=true")
			})
		})
	}
}
