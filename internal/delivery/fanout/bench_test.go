package fanout

import (
	"testing"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

func BenchmarkHandlePoll_WithoutKeys(b *testing.B) {
	target := &feed{subscriptions: map[string]map[*Subscription]bool{"a": {}}}
	delivered := 0
	for range 20 {
		subscription := &Subscription{Topic: "a", caughtUp: true, opened: true, OnEntry: func(log.Entry) {
			delivered++
		}}
		target.subscriptions["a"][subscription] = true
	}
	response := &leader.PollResponse{}
	for range 100 {
		response.Entries = append(response.Entries, log.Entry{Type: log.TypeMessage, Topic: "a"})
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range response.Entries {
			response.To++
			response.Entries[i].Offset = response.To
		}
		target.handlePoll(response, target.generation)
	}
}
