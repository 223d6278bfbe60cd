package sim

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/client/session"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/testing/deliverycheck"
	"postjunction/internal/testing/simclient"
)

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
				assert.Assert(s.t, !s.got(s.reader, last, a.WrittenAt), "shown after the yes")
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
				assert.Assert(s.t, !s.got(s.reader, last, a.WrittenAt), "shown after the yes")
				s.w.Heal()
				s.resumed()
			})
		})
	}
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
				assert.Assert(s.t, !s.got(s.reader, last, a.WrittenAt), "shown to one who came back")
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
		assert.Assert(s.t, !s.got(s.reader, x.Call-1, a.WrittenAt), "shown to one who came back")
		s.far.End()
		s.far = s.again("a3", "far")
	})
}

// A withdrawal and its own message are offered at two nodes at once, or it names what has not come:
// in whichever order they are decided, nothing withdrawn is shown after the yes, and a number that
// was passed over never arrives.
func TestWithdrawalRacesItsOwnMessage(t *testing.T) {
	t.Parallel()
	staged(t, 930, 2, func(s *scene) {
		twin := s.g.ConnectScripted("a3", "lead")
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
			_, ok := s.lead.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "race", Call: d, Sender: "lead", UpTo: m})
			assert.Assert(s.t, ok)
			<-sent
			a, ok := twin.Wait(0, scriptedTimeout, func(a session.Response) bool {
				return a.CallSeq == m && (a.Type == session.Accepted || a.InReplyTo == session.Send && simclient.FinalRejections[apierror.From(a.Err).Code])
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
			a, ok := s.lead.Withdraw(deliverycheck.Withdrawal{Topic: ground, Key: "foe", Call: s.next(), Sender: "foe", UpTo: n})
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
		answered := s.w.CallsInvolving("a1", router.Poll.Path)
		s.moved(o)
		s.reopened("")
		x := s.open("turn", "a1")
		h := s.g.ConnectScripted("a1", "other")
		if h != nil {
			_, _ = h.Subscribe(ground, "")
		}
		time.Sleep(2 * time.Second)
		s.still(x, "a1")
		assert.Assert(s.t, s.w.CallsInvolving("a1", router.Poll.Path) > answered, "void: the old owner was not asked")
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
