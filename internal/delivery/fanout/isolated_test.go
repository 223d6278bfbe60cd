package fanout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/settings"
)

// A reader that no leader has answered for the recovery time releases its buffers first. Then it
// reports the end of its boot ID, three times at most. Subscriptions continue under another boot
// ID. A node without a reader token, which no node has where nothing has a key, continues to poll.
func TestIsolatedReader_ReleasesAndReportsFinished(t *testing.T) {
	timing := settings.DefaultTiming
	for _, test := range []struct {
		name    string
		token   uint64
		key     string
		reports int
	}{
		{"with keys", 3, "k", maxFinishAttempts},
		{"without", 0, "", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			withScript(t, func(t *testing.T, script *scriptedLeaders) {
				script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
					return &leader.FollowResponse{Epoch: 1, CommittedEnd: 4, BacklogEnd: 4, ReaderToken: test.token}, 0
				})
				script.onPolls(pollAnswer(tick, message(5, test.key)))
				var first recorder
				broken := 0
				subscription := script.hub.NewSubscription(0, "a")
				subscription.OnOpen = func(uint64, error) {}
				subscription.OnEntry = func(entry log.Entry) { first.received = append(first.received, entry.Offset) }
				subscription.OnBroken = func() { broken++ }
				script.hub.Subscribe(subscription)
				advance(2 * tick)
				assert.DeepEqual(t, first.received, []uint64{5})
				script.onFollow(func(*leader.FollowRequest) (*leader.FollowResponse, time.Duration) {
					return nil, time.Hour
				})
				var lostPolls []func(*leader.PollRequest) (*leader.PollResponse, time.Duration)
				for range 1000 {
					lostPolls = append(lostPolls, func(*leader.PollRequest) (*leader.PollResponse, time.Duration) {
						return nil, time.Second
					})
				}
				script.onPolls(lostPolls...)
				advance(timing.Recovery)
				assert.Equal(t, broken, 0)
				script.takeLog()
				advance(timing.Spread + 4*time.Second)
				lines := script.takeLog()
				for len(lines) > 0 && lines[0] == "poll boot 5 tombstones=true" {
					lines = lines[1:]
				}
				if test.reports == 0 {
					assert.Equal(t, broken, 0)
					assert.Equal(t, len(lines), 0)
					return
				}
				assert.Equal(t, broken, 1)
				finishReport := "finished boot full=true topics=0 tombstones=true"
				assert.DeepEqual(t, lines, []string{"release 0 close=true", finishReport, finishReport, finishReport})
				script.onFollow(followAnswer(9))
				var second recorder
				second.subscribe(script.hub, "a", offsetPointer(5))
				assert.DeepEqual(t, script.takeLog()[0], "follow boot+1 full=true topics=1 tombstones=true")
			})
		})
	}
}
