package fanout

import (
	"testing"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

func BenchmarkTakeWithoutKeys(b *testing.B) {
	f := &feed{topics: map[string]map[*Subscription]bool{"a": {}}}
	n := 0
	for range 20 {
		s := &Subscription{Topic: "a", open: true, told: true, OnEntry: func(log.Entry) { n++ }}
		f.topics["a"][s] = true
	}
	a := &leader.PollResponse{}
	for range 100 {
		a.Entries = append(a.Entries, log.Entry{Type: log.TypeMessage, Topic: "a"})
	}
	b.ReportAllocs()
	for b.Loop() {
		for i := range a.Entries {
			a.To++
			a.Entries[i].Offset = a.To
		}
		f.take(a, f.gen)
	}
}
