package sim

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/partition"
	"postjunction/internal/testing/deliverycheck"
)

// fourth is traductores with three access machines.
var fourth = Site{Zones: 4, Control: 4, Access: 3, Storage: 4, Latency: 1500 * time.Microsecond, Timing: Traductores.Timing, Routine: 4, Urgent: 2}

var halls = map[string]Site{"armor": hall, "traductores": fourth}

// few are visitors in the background, who carry keys and withdraw too.
var few = Load{Topics: 12, LiveTopics: 2, SendInterval: 2 * time.Second}

const ground = "kept/t0"

// scene is a topic with a reader on the router a1, one on a3, and a lead on a2 who writes and
// withdraws.
type scene struct {
	t           *testing.T
	w           *World
	g           *LineClients
	reader, far *ScriptedClient
	lead        *ScriptedClient
	call        uint64
}

func (s *scene) next() uint64 {
	s.call++
	return s.call
}

// staged plays a script at both sites in a scene that was set, with some seeds each.
func staged(t *testing.T, seed uint64, n int, script func(s *scene)) {
	t.Helper()
	for name, site := range halls {
		for i := range uint64(seeds(n)) {
			t.Run(fmt.Sprintf("%s/%d", name, seed+i), func(t *testing.T) {
				t.Parallel()
				entertain(t, site, seed+i, few, 10, func(t *testing.T, w *World, g *LineClients) {
					s := &scene{t: t, w: w, g: g, reader: g.ConnectScripted("a1", "reader"), far: g.ConnectScripted("a3", "far"), lead: g.ConnectScripted("a2", "lead")}
					assert.Assert(t, s.reader != nil && s.far != nil && s.lead != nil)
					for _, h := range []*ScriptedClient{s.reader, s.far} {
						_, ok := h.Subscribe(ground, "")
						assert.Assert(t, ok, "%s can't follow", h.Name)
					}
					script(s)
					for _, h := range []*ScriptedClient{s.reader, s.far, s.lead} {
						h.End()
					}
				})
			})
		}
	}
}

// write has the lead send messages under a key, all taken.
func (s *scene) write(key string, n int) {
	s.t.Helper()
	for range n {
		s.put(key)
	}
}

// put has the lead send one message, under another number where somebody's withdrawal passed that.
func (s *scene) put(key string) {
	s.t.Helper()
	for range 4 {
		if s.lead.SendAccepted(ground, key, s.next()) {
			return
		}
	}
	s.t.Fatalf("not taken up to %d", s.call)
}

// wait lets a hand get a message.
func (s *scene) wait(h *ScriptedClient, call uint64) {
	s.t.Helper()
	_, ok := h.Wait(0, scriptedTimeout, func(a session.Response) bool {
		return a.Type == session.Message && a.From == s.lead.Name && a.CallSeq == call
	})
	assert.Assert(s.t, ok, "%s never got %d", h.Name, call)
}

// open withdraws what stands under a key and expects that a router is named which has not
// forgotten, within a call's time.
func (s *scene) open(key, node string) deliverycheck.Withdrawal {
	s.t.Helper()
	w := deliverycheck.Withdrawal{Topic: ground, Key: key, Call: s.next()}
	s.still(w, node)
	return w
}

func (s *scene) still(w deliverycheck.Withdrawal, node string) {
	s.t.Helper()
	begun := time.Now()
	a, ok := s.lead.Withdraw(w)
	took := time.Since(begun)
	assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.WithdrawalOpen), "was told %s %v after %s", a.Type, a.Err, took)
	assert.Assert(s.t, strings.Contains(a.Err.Error(), node), "%v does not name %s", a.Err, node)
	assert.Assert(s.t, took <= s.w.Site.Timing.CallTimeout(), "the answer took %s", took)
}

// yes asks again until the yes comes.
func (s *scene) yes(w deliverycheck.Withdrawal, limit time.Duration) TimedResponse {
	s.t.Helper()
	end := time.Now().Add(limit)
	for {
		a, ok := s.lead.Withdraw(w)
		if ok && a.Type == session.WithdrawalComplete {
			return a
		}
		assert.Assert(s.t, time.Now().Before(end), "no yes within %s: %v %s %v", limit, ok, a.Type, a.Err)
		time.Sleep(s.w.Site.Timing.MaxBackoff())
	}
}

// flow has the lead write updates for a while, every other one anew under a key, and gives how long
// they took to the far reader.
func (s *scene) flow(key string, d time.Duration) []time.Duration {
	s.t.Helper()
	begun := time.Now()
	for i := 0; time.Since(begun) < d; i++ {
		k := ""
		if i%2 == 0 {
			k = key
		}
		s.put(k)
		time.Sleep(20 * time.Millisecond)
	}
	s.wait(s.far, s.call)
	other := func(v string) bool { return v != "far" && v != "lead" }
	return s.g.Checker.DeliveryLatencies(begun, time.Now(), other)
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	return ds[int(q*float64(len(ds)-1))]
}

// got tells whether a hand was shown a call of the lead after a moment.
func (s *scene) got(h *ScriptedClient, call uint64, after time.Time) bool {
	return slices.ContainsFunc(h.Responses(), func(x TimedResponse) bool {
		return x.Type == session.Message && x.Topic == ground && x.From == s.lead.Name && x.CallSeq == call && x.WrittenAt.After(after)
	})
}

// resumed has the reader come back on its router with its cursor, until it is given what is written
// then; the book judges what it is shown.
func (s *scene) resumed() {
	s.t.Helper()
	s.write("", 1)
	last := s.call
	err := s.w.WaitUntil(s.w.Site.Timing.Recovery, "the reader comes back and is given what it lacks", func() bool {
		was := s.reader
		was.Disconnect()
		h := s.g.ConnectScripted("a1", "reader")
		if h == nil {
			return false
		}
		s.reader = h
		if _, ok := h.Resume(was, ground); !ok {
			return false
		}
		_, ok := h.Wait(0, time.Second, func(a session.Response) bool {
			return a.Type == session.Message && a.From == s.lead.Name && a.CallSeq == last
		})
		return ok
	})
	assert.NilError(s.t, err)
}

// seat gives the store that owns a topic's line.
func (s *scene) seat() string {
	x := s.w.Machines["c1"].Node()
	return x.Store.Record(partition.Of(ground, false, x.VoterSet().Layout)).Leader
}

func (s *scene) moved(from string) {
	s.t.Helper()
	assert.NilError(s.t, s.w.WaitUntil(s.w.Site.Timing.Recovery, "the line moves", func() bool { return s.seat() != from }))
}

// reopened waits until the topic's line takes messages, and some more for those who are told of it.
func (s *scene) reopened(key string) {
	s.t.Helper()
	assert.NilError(s.t, s.w.WaitUntil(s.w.Site.Timing.Recovery, "the line is open again", func() bool { return s.lead.SendAccepted(ground, key, s.next()) }))
	time.Sleep(s.w.Site.Timing.SessionTimeout())
}

func (s *scene) compactions() (n uint64) {
	for _, v := range views(s.w) {
		n += v.Counters.Compactions
	}
	return n
}

func (s *scene) again(at, name string) (h *ScriptedClient) {
	s.t.Helper()
	assert.NilError(s.t, s.w.WaitUntil(s.w.Site.Timing.Recovery, name+" comes back", func() bool {
		h = s.g.ConnectScripted(at, name)
		return h != nil
	}))
	return h
}

// anew has the reader come back on its router without a cursor, until it is given what is written
// under a key.
func (s *scene) anew() {
	s.t.Helper()
	err := s.w.WaitUntil(2*s.w.Site.Timing.Recovery, "the reader follows", func() bool {
		s.reader.End()
		if s.reader = s.g.ConnectScripted("a1", "reader"); s.reader == nil {
			s.reader = s.far
			return false
		}
		if _, ok := s.reader.Subscribe(ground, ""); !ok || !s.lead.SendAccepted(ground, "turn", s.next()) {
			return false
		}
		_, ok := s.reader.Wait(0, time.Second, func(a session.Response) bool {
			return a.Type == session.Message && a.From == s.lead.Name && a.CallSeq == s.call
		})
		return ok
	})
	assert.NilError(s.t, err)
	s.yes(deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: s.next()}, s.w.Site.Timing.CallTimeout())
}
