package session

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/membership"
)

func zone(big, small int) []membership.Info {
	var all []membership.Info
	for i := range big + small {
		x := membership.Info{Name: fmt.Sprintf("a%d", i), Zone: "z", ClientAddr: fmt.Sprintf("10.0.0.%d:1", i), Stage: membership.Serving, MilliCores: 32}
		if i < big {
			x.MilliCores = 352
		}
		all = append(all, x)
	}
	return append(all, membership.Info{Name: "far", Zone: "y", ClientAddr: "10.1.0.1:1", Stage: membership.Serving, MilliCores: 4000},
		membership.Info{Name: "store", Zone: "z", Stage: membership.Serving, MilliCores: 480})
}

// Visitors come to all nodes of a zone alike; after those with next to no processor sent on what is not theirs, each node has visits by its processor.
func TestVisitorsGoWhereProcessorsAre(t *testing.T) {
	all := zone(2, 17)
	got, sum := map[string]float64{}, 0
	for _, me := range all[:19] {
		sum += me.MilliCores
		keep, to := plan(me, all)
		got[me.ClientAddr] += keep
		was := 0.0
		for _, r := range to {
			got[r.address] += (1 - keep) * (r.upto - was)
			was = r.upto
		}
		if len(to) > 0 {
			assert.Equal(t, was, 1.0)
		}
	}
	for _, i := range all[:19] {
		share, want := got[i.ClientAddr]/19, float64(i.MilliCores)/float64(sum)
		assert.Assert(t, share > 0.99*want && share < 1.01*want, "%s has %.3f of the visitors and %.3f of the processor", i.Name, share, want)
	}
}

func TestWhoKeepsAllVisitors(t *testing.T) {
	all := zone(2, 17)
	for name, f := range map[string]func(me *membership.Info, all []membership.Info){
		"plenty":                  func(me *membership.Info, _ []membership.Info) { me.MilliCores = scarce },
		"not known":               func(me *membership.Info, _ []membership.Info) { me.MilliCores = 0 },
		"nobody in the zone":      func(me *membership.Info, _ []membership.Info) { me.Zone = "x" },
		"the others leave":        func(_ *membership.Info, all []membership.Info) { all[0].Stage, all[1].Stage = "leaving", "leaving" },
		"the others are cut off":  func(_ *membership.Info, all []membership.Info) { all[0].Deaf, all[1].Deaf = true, true },
		"the others have as much": func(_ *membership.Info, all []membership.Info) { all[0].MilliCores, all[1].MilliCores = 32, 32 },
	} {
		is := append([]membership.Info(nil), all...)
		me := is[5]
		f(&me, is)
		keep, to := plan(me, is)
		assert.Assert(t, keep == 1 && len(to) == 0, "%s: keeps %f, %v", name, keep, to)
	}
}

// A newcomer that is sent on hears so in the place of its attachment, and nothing is taken up for it here.
func TestANewcomerIsSentOnBeforeItAttaches(t *testing.T) {
	enter(t, func(t *testing.T, h *hall, v *Session) {
		all := zone(1, 9)
		me := all[3]
		h.Info, h.Members = func() membership.Info { return me }, func() []membership.Info { return all }
		time.Sleep(h.Timing.HeartbeatInterval())
		v.Do(Request{Verb: Unsubscribe, Topic: "a"})
		assert.DeepEqual(t, h.said(), []string{"left a"})
		kept, sent := 0, 0
		for range 1000 {
			x := h.NewSession(h.hear)
			x.Do(Request{Verb: Attach, Client: "w"})
			switch s := h.said()[0]; s {
			case "attached":
				kept++
				continue
			case "moved " + all[0].ClientAddr:
				sent++
			default:
				t.Fatal(s)
			}
			x.Do(Request{Verb: Subscribe, Topic: "a"})
			assert.Equal(t, len(h.said()), 1)
			assert.Equal(t, len(x.topics()), 0)
		}
		t.Logf("%d kept, %d sent on", kept, sent)
		assert.Assert(t, kept > 400 && kept < 600, "%d kept of 1000; the mean is 64, and there are 32", kept)
	})
}

// Visits of a node that leaves are dealt to its peers by what they have, and evenly where nobody says.
func TestVisitsOfALeavingNodeAreDealtByProcessor(t *testing.T) {
	count := func(is []membership.Info, n int) map[string]int {
		got, next := map[string]int{}, deal(is)
		for range n {
			got[next().ClientAddr]++
		}
		return got
	}
	is := zone(2, 3)[:5]
	got := count(is, 800)
	for _, i := range is {
		want := 800 * i.MilliCores / (2*352 + 3*32)
		assert.Assert(t, got[i.ClientAddr] >= want-1 && got[i.ClientAddr] <= want+1, "%s got %d, not %d", i.Name, got[i.ClientAddr], want)
	}
	for i := range is {
		is[i].MilliCores = 0
	}
	for a, n := range count(is, 100) {
		assert.Assert(t, n >= 19 && n <= 21, "%s got %d of 100 among five", a, n)
	}
}
