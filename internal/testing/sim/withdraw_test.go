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
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

// fourth is traductores with three access machines.
var fourth = Site{Zones: 4, Control: 4, Access: 3, Stores: 4, Latency: 1500 * time.Microsecond, Timing: Traductores.Timing, Routine: 4, Urgent: 2}

var halls = map[string]Site{"armor": hall, "traductores": fourth}

// few are visitors in the background, who carry keys and withdraw too.
var few = Load{Topics: 12, LiveTopics: 2, Every: 2 * time.Second}

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
					s := &scene{t: t, w: w, g: g, reader: g.Scripted("a1", "reader"), far: g.Scripted("a3", "far"), lead: g.Scripted("a2", "lead")}
					assert.Assert(t, s.reader != nil && s.far != nil && s.lead != nil)
					for _, h := range []*ScriptedClient{s.reader, s.far} {
						_, ok := h.Follow(ground, "")
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
	return s.g.Checker.Spread(begun, time.Now(), other)
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	return ds[int(q*float64(len(ds)-1))]
}

// got tells whether a hand was shown a call of the lead after a moment.
func (s *scene) got(h *ScriptedClient, call uint64, after time.Time) bool {
	return slices.ContainsFunc(h.All(), func(x TimedResponse) bool {
		return x.Type == session.Message && x.Topic == ground && x.From == s.lead.Name && x.CallSeq == call && x.Shown.After(after)
	})
}

// aways are the ways in which a router drops out with its visitors still connected, and how it
// comes back.
var aways = map[string]func(w *World) (back func()){
	"cut off": func(w *World) func() {
		w.Isolate("a1")
		return w.Heal
	},
	"deaf": func(w *World) func() {
		w.Cut("*", "a1")
		return w.Heal
	},
	"dumb": func(w *World) func() {
		w.Cut("a1", "*")
		return w.Heal
	},
	"frozen": func(w *World) func() {
		w.Freeze("a1")
		return func() { w.Thaw("a1") }
	},
}

// A router drops out with visitors who are behind with their reading, a key is withdrawn meanwhile,
// and it rejoins with what it held: the withdrawal is open at once, which names the router, its yes
// comes after the return, nothing withdrawn is shown then, and all others get live updates as fast
// as before.
func TestRouterDropsOutWhileOthersWithdraw(t *testing.T) {
	t.Parallel()
	for how, away := range aways {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			staged(t, 900, 1, func(s *scene) {
				calm := s.flow("live", 3*time.Second)
				s.reader.Pause(7 * time.Second)
				time.Sleep(10 * time.Millisecond)
				s.write("turn", 20)
				last := s.call
				s.wait(s.far, last)
				back := away(s.w)
				x := s.open("turn", "a1")
				now := s.flow("turn", 2*time.Second)
				s.still(x, "a1")
				back()
				a := s.yes(x, s.w.Site.Timing.Recovery)
				time.Sleep(6 * time.Second)
				assert.Assert(s.t, !s.got(s.reader, last, a.Shown), "shown after the yes")
				s.t.Logf("live updates: calm p50 %s p99 %s, with a router away p50 %s p99 %s", quantile(calm, 0.5), quantile(calm, 0.99), quantile(now, 0.5), quantile(now, 0.99))
				assert.Assert(s.t, len(now) > 10 && quantile(now, 0.99) <= quantile(calm, 0.99)+5*time.Millisecond, "calm p99 %s, with a router away %s of %d", quantile(calm, 0.99), quantile(now, 0.99), len(now))
				s.resumed()
			})
		})
	}
}

// A router that is heard and hears nothing, of anybody or of the topic's owner alone, holds no
// withdrawal open for longer than service may rest: it lets go of all and says so, which is heard.
func TestADeafRouterLetsGo(t *testing.T) {
	t.Parallel()
	long(t)
	for how, cut := range map[string]func(s *scene){
		"to all":       func(s *scene) { s.w.Cut("*", "a1") },
		"to the owner": func(s *scene) { s.w.Cut(s.seat(), "a1") },
	} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			staged(t, 930, 1, func(s *scene) {
				s.write("turn", 20)
				last := s.call
				s.wait(s.far, last)
				cut(s)
				s.reader.Pause(3 * time.Second)
				x := s.open("turn", "a1")
				a := s.yes(x, s.w.Site.Timing.Recovery+s.w.Site.Timing.CallTimeout())
				s.flow("turn", time.Second)
				assert.Assert(s.t, !s.got(s.reader, last, a.Shown), "shown after the yes")
				s.w.Heal()
				s.resumed()
			})
		})
	}
}

// resumed has the reader come back on its router with its cursor, until it is given what is written
// then; the book judges what it is shown.
func (s *scene) resumed() {
	s.t.Helper()
	s.write("", 1)
	last := s.call
	err := s.w.WaitUntil(s.w.Site.Timing.Recovery, "the reader comes back and is given what it lacks", func() bool {
		was := s.reader
		was.Break()
		h := s.g.Scripted("a1", "reader")
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

// strikes come between a mark and its yes, while a router is away.
var strikes = map[string]func(s *scene){
	"the owner is killed": func(s *scene) {
		o := s.seat()
		s.w.Kill(o)
		s.moved(o)
		assert.NilError(s.t, s.w.Start(o))
	},
	"the owner is frozen": func(s *scene) {
		o := s.seat()
		s.w.Freeze(o)
		s.moved(o)
		s.w.Thaw(o)
	},
	"the owner hands over": func(s *scene) {
		o := s.seat()
		s.w.Terminate(o)
		s.moved(o)
		assert.NilError(s.t, s.w.Start(o))
	},
	"the owner's store is wiped": func(s *scene) {
		o := s.seat()
		s.w.Wipe(o)
		s.moved(o)
		assert.NilError(s.t, s.w.Start(o))
	},
	"the changelog is compacted": func(s *scene) {
		was := s.compactions()
		for range 90 {
			s.write("", 1)
			time.Sleep(s.w.Site.Timing.MaxBackoff())
		}
		assert.Assert(s.t, s.compactions() > was, "void: no changelog was compacted")
		o := s.seat()
		s.w.Kill(o)
		s.moved(o)
		assert.NilError(s.t, s.w.Start(o))
	},
	"every store and control node restarts": func(s *scene) {
		for _, n := range s.w.Names {
			if n[0] != 'a' {
				s.w.LosePower(n, s.w.Int(2) == 0)
			}
		}
		time.Sleep(time.Second)
		assert.NilError(s.t, s.w.Start(s.w.Names...))
	},
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

// A mark and its readers outlive what befalls their line: while a router that holds the message is
// away the yes does not come, whoever owns the line.
func TestYesWaitsForTheRouterOverTakeOvers(t *testing.T) {
	t.Parallel()
	long(t)
	for how, strike := range strikes {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			staged(t, 910, 1, func(s *scene) {
				for _, m := range s.w.Machines {
					if n := m.Node(); n != nil && strings.Contains(how, "compacted") {
						o := m.Opts
						o.Changelog = 200 * 1e6
						assert.NilError(s.t, n.Apply(o))
					}
				}
				s.write("turn", 3)
				last := s.call
				s.wait(s.reader, last)
				s.w.Isolate("a1")
				x := s.open("turn", "a1")
				strike(s)
				s.reopened("turn")
				s.still(x, "a1")
				s.w.Heal()
				a := s.yes(x, s.w.Site.Timing.Recovery)
				s.resumed()
				assert.Assert(s.t, !s.got(s.reader, last, a.Shown), "shown to one who came back")
			})
		})
	}
}

// All lose their power between the mark and its yes: the routers come back under other boots, hold
// nothing, and the yes comes without the old ones.
func TestYesComesAfterAllRestart(t *testing.T) {
	t.Parallel()
	staged(t, 920, 1, func(s *scene) {
		s.write("turn", 3)
		s.wait(s.reader, s.call)
		s.w.Isolate("a1")
		x := s.open("turn", "a1")
		for _, n := range s.w.Names {
			s.w.LosePower(n, s.w.Int(2) == 0)
		}
		s.w.Heal()
		time.Sleep(time.Second)
		assert.NilError(s.t, s.w.Start(s.w.Names...))
		assert.NilError(s.t, s.w.WaitReady(s.w.Site.Timing.Recovery))
		s.lead = s.again("a2", "lead")
		a := s.yes(x, s.w.Site.Timing.Recovery)
		s.resumed()
		assert.Assert(s.t, !s.got(s.reader, x.Call-1, a.Shown), "shown to one who came back")
		s.far.End()
		s.far = s.again("a3", "far")
	})
}

func (s *scene) again(at, name string) (h *ScriptedClient) {
	s.t.Helper()
	assert.NilError(s.t, s.w.WaitUntil(s.w.Site.Timing.Recovery, name+" comes back", func() bool {
		h = s.g.Scripted(at, name)
		return h != nil
	}))
	return h
}

// A withdrawal and its own message are offered at two nodes at once, or it names what has not come:
// in whichever order they are decided, nothing withdrawn is shown after the yes, and a number that
// was passed over never arrives.
func TestWithdrawalRacesItsOwnMessage(t *testing.T) {
	t.Parallel()
	staged(t, 930, 2, func(s *scene) {
		twin := s.g.Scripted("a3", "lead")
		assert.Assert(s.t, twin != nil)
		passed, taken := 0, 0
		for i := range 30 {
			m, d := s.next(), s.next()
			ahead := time.Duration(i%5-2) * s.w.Site.Latency / 2
			sent := make(chan struct{})
			go func() {
				time.Sleep(-ahead)
				twin.SendAsync(ground, "race", m)
				close(sent)
			}()
			time.Sleep(ahead)
			_, ok := s.lead.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "race", Call: d, Of: "lead", Upto: m})
			assert.Assert(s.t, ok)
			<-sent
			a, ok := twin.Wait(0, scriptedTimeout, func(a session.Response) bool {
				return a.CallSeq == m && (a.Type == session.Accepted || a.InReplyTo == session.Send && simclient.Promises[apierror.From(a.Err).Code])
			})
			assert.Assert(s.t, ok, "no answer to %d", m)
			if a.Type == session.Accepted {
				taken++
			} else {
				assert.Assert(s.t, apierror.HasCode(a.Err, apierror.CallPassed), "%v", a.Err)
				passed++
			}
		}
		s.t.Logf("raced: %d taken, %d passed", taken, passed)
		assert.Assert(s.t, taken > 0 && passed > 0, "void: %d taken, %d passed", taken, passed)
		foe := s.again("a3", "foe")
		for i := range 5 {
			n := uint64(10 * (i + 1))
			a, ok := s.lead.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "foe", Call: s.next(), Of: "foe", Upto: n})
			assert.Assert(s.t, ok && a.Type == session.WithdrawalComplete, "%v", a.Err)
			a, ok = foe.Send(ground, "foe", n-1)
			assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.CallPassed), "%s %v", a.Type, a.Err)
			assert.Assert(s.t, foe.SendAccepted(ground, "foe", n+1))
		}
		twin.End()
		foe.End()
	})
}

// What withdrawals answer besides a yes.
func TestAnswersToWithdrawals(t *testing.T) {
	t.Parallel()
	staged(t, 940, 1, func(s *scene) {
		a, ok := s.lead.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "nothing", Call: s.next()})
		assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.KeyUnknown), "%s %v", a.Type, a.Err)
		s.write("turn", 1)
		x := deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: s.next()}
		first := s.yes(x, time.Second)
		assert.Equal(s.t, first.Key, "turn")
		s.yes(x, time.Second)
		s.yes(deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: s.next()}, time.Second)
		other := s.again("a3", "other")
		s.write("turn", 1)
		a, ok = other.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: 1})
		assert.Assert(s.t, ok && a.Type == session.WithdrawalComplete, "%s %v", a.Type, a.Err)
		s.write("turn", 1)
		s.wait(s.far, s.call)
		s.wait(s.reader, s.call)
		other.End()
	})
}

// A withdrawal of what was withdrawn before is answered by the mark that stands, also when it is
// asked for again after the key was written anew: what was written then stays.
func TestWithdrawnTwiceLeavesWhatIsWrittenThen(t *testing.T) {
	t.Parallel()
	staged(t, 945, 1, func(s *scene) {
		other := s.again("a3", "other")
		s.write("turn", 2)
		s.wait(s.reader, s.call)
		s.w.Isolate("a1")
		x := s.open("turn", "a1")
		y := deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: 1}
		a, ok := other.Withdraw(y)
		assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.WithdrawalOpen), "%s %v", a.Type, a.Err)
		s.write("turn", 1)
		anew := s.call
		a, ok = other.Withdraw(y)
		assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.WithdrawalOpen), "%s %v", a.Type, a.Err)
		assert.Assert(s.t, other.SendAccepted(ground, "", 2))
		a, ok = other.Withdraw(y)
		assert.Assert(s.t, ok && apierror.HasCode(a.Err, apierror.WithdrawalOpen), "%s %v", a.Type, a.Err)
		s.w.Heal()
		s.yes(x, s.w.Site.Timing.Recovery)
		a, ok = other.Withdraw(y)
		assert.Assert(s.t, ok && a.Type == session.WithdrawalComplete, "%s %v", a.Type, a.Err)
		s.resumed()
		s.wait(s.reader, anew)
		other.End()
	})
}

// The routers can't reach one another, in one way or both, and all reach the stores: nothing waits,
// as no router asks another.
func TestRoutersCutFromEachOtherWithdraw(t *testing.T) {
	t.Parallel()
	for how, back := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			staged(t, 950, 1, func(s *scene) {
				s.w.Cut("a1", "a2")
				s.w.Cut("a1", "a3")
				if back {
					s.w.Cut("a2", "a1")
					s.w.Cut("a3", "a1")
				}
				for range 10 {
					s.write("turn", 2)
					s.yes(deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: s.next()}, s.w.Site.Timing.CallTimeout())
				}
				s.write("turn", 1)
				s.wait(s.reader, s.call)
			})
		})
	}
}

// An owner that was superseded still answers the router that nobody else reaches, with the message
// that its successor's line has withdrawn. The yes waits for that router.
func TestSupersededLeaderStillAnswers(t *testing.T) {
	t.Parallel()
	long(t)
	staged(t, 960, 1, func(s *scene) {
		o := s.seat()
		s.write("turn", 3)
		last := s.call
		s.wait(s.reader, last)
		for _, n := range s.w.Names {
			for _, x := range []string{o, "a1"} {
				if n != o && n != "a1" {
					s.w.Cut(n, x)
					s.w.Cut(x, n)
				}
			}
		}
		answered := s.w.Parts("a1", router.Poll.Path)
		s.moved(o)
		s.reopened("")
		x := s.open("turn", "a1")
		h := s.g.Scripted("a1", "other")
		if h != nil {
			_, _ = h.Follow(ground, "")
		}
		time.Sleep(2 * time.Second)
		s.still(x, "a1")
		assert.Assert(s.t, s.w.Parts("a1", router.Poll.Path) > answered, "void: the old owner was not asked")
		s.w.Heal()
		s.yes(x, s.w.Site.Timing.Recovery)
		s.resumed()
		if h != nil {
			h.End()
		}
	})
}

// A router is away for longer than the keeping time and the lease: it is given up, which the yes
// says, marks go, and when it is back it starts clean. One that is heard and hears nothing is not
// given up, as it may be licensed by others.
func TestRouterAwayForLongIsGivenUp(t *testing.T) {
	t.Parallel()
	long(t)
	for how, away := range aways {
		if how == "deaf" {
			continue
		}
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			staged(t, 970, 1, func(s *scene) {
				s.write("turn", 3)
				last := s.call
				s.wait(s.reader, last)
				back := away(s.w)
				x := s.open("turn", "a1")
				begun := time.Now()
				a := s.yes(x, s.w.Site.Timing.Retention()+2*s.w.Site.Timing.Recovery)
				assert.Assert(s.t, slices.Contains(a.GivenUp, "a1"), "the yes names %v", a.GivenUp)
				took := time.Since(begun)
				s.t.Logf("given up after %s", took)
				assert.Assert(s.t, took >= s.w.Site.Timing.Keeping, "given up after %s", took)
				for range 5 {
					s.write("turn", 1)
					s.yes(deliverycheck.Withdrawal{Topic: ground, Key: "turn", Call: s.next()}, s.w.Site.Timing.CallTimeout())
				}
				back()
				s.anew()
			})
		})
	}
}

// anew has the reader come back on its router without a cursor, until it is given what is written
// under a key.
func (s *scene) anew() {
	s.t.Helper()
	err := s.w.WaitUntil(2*s.w.Site.Timing.Recovery, "the reader follows", func() bool {
		s.reader.End()
		if s.reader = s.g.Scripted("a1", "reader"); s.reader == nil {
			s.reader = s.far
			return false
		}
		if _, ok := s.reader.Follow(ground, ""); !ok || !s.lead.SendAccepted(ground, "turn", s.next()) {
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
