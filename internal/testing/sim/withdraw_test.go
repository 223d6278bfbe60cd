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
var routerFaults = map[string]func(w *World) (restore func()){
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
	for name, inject := range routerFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 900, 1, func(s *withdrawalScenario) {
				baseline := s.measureDelays("live", 3*time.Second)
				s.reader.Pause(7 * time.Second)
				time.Sleep(10 * time.Millisecond)
				s.sendMessages("turn", 20)
				last := s.callSeq
				s.waitForMessage(s.otherReader, last)
				restore := inject(s.w)
				withdrawal := s.withdrawPending("turn", "a1")
				degraded := s.measureDelays("turn", 2*time.Second)
				s.expectPending(withdrawal, "a1")
				restore()
				response := s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery)
				time.Sleep(6 * time.Second)
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.Shown), "shown after the yes")
				s.t.Logf("live updates: calm p50 %s p99 %s, with a router away p50 %s p99 %s", quantile(baseline, 0.5), quantile(baseline, 0.99), quantile(degraded, 0.5), quantile(degraded, 0.99))
				assert.Assert(s.t, len(degraded) > 10 && quantile(degraded, 0.99) <= quantile(baseline, 0.99)+5*time.Millisecond, "calm p99 %s, with a router away %s of %d", quantile(baseline, 0.99), quantile(degraded, 0.99), len(degraded))
				s.resumeReader()
			})
		})
	}
}

// A router that is heard and hears nothing, of anybody or of the topic's owner alone, holds no
// withdrawal open for longer than service may rest: it lets go of all and says so, which is heard.
func TestRouterThatReceivesNothingReleasesMessages(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range map[string]func(s *withdrawalScenario){
		"to all":       func(s *withdrawalScenario) { s.w.Cut("*", "a1") },
		"to the owner": func(s *withdrawalScenario) { s.w.Cut(s.partitionLeader(), "a1") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 930, 1, func(s *withdrawalScenario) {
				s.sendMessages("turn", 20)
				last := s.callSeq
				s.waitForMessage(s.otherReader, last)
				inject(s)
				s.reader.Pause(3 * time.Second)
				withdrawal := s.withdrawPending("turn", "a1")
				response := s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery+s.w.Site.Timing.CallTimeout())
				s.measureDelays("turn", time.Second)
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.Shown), "shown after the yes")
				s.w.Heal()
				s.resumeReader()
			})
		})
	}
}

// strikes come between a mark and its yes, while a router is away.
var leaderFaults = map[string]func(s *withdrawalScenario){
	"the owner is killed": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.w.Kill(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.w.Start(leaderNode))
	},
	"the owner is frozen": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.w.Freeze(leaderNode)
		s.waitForFailover(leaderNode)
		s.w.Thaw(leaderNode)
	},
	"the owner hands over": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.w.Terminate(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.w.Start(leaderNode))
	},
	"the owner's store is wiped": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.w.Wipe(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.w.Start(leaderNode))
	},
	"the changelog is compacted": func(s *withdrawalScenario) {
		before := s.compactions()
		for range 90 {
			s.sendMessages("", 1)
			time.Sleep(s.w.Site.Timing.MaxBackoff())
		}
		assert.Assert(s.t, s.compactions() > before, "void: no changelog was compacted")
		leaderNode := s.partitionLeader()
		s.w.Kill(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.w.Start(leaderNode))
	},
	"every store and control node restarts": func(s *withdrawalScenario) {
		for _, node := range s.w.Names {
			if node[0] != 'a' {
				s.w.LosePower(node, s.w.Int(2) == 0)
			}
		}
		time.Sleep(time.Second)
		assert.NilError(s.t, s.w.Start(s.w.Names...))
	},
}

// A mark and its readers outlive what befalls their line: while a router that holds the message is
// away the yes does not come, whoever owns the line.
func TestWithdrawalWaitsForTheRouterAcrossFailovers(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 910, 1, func(s *withdrawalScenario) {
				for _, machine := range s.w.Machines {
					if running := machine.Node(); running != nil && strings.Contains(name, "compacted") {
						options := machine.Opts
						options.Changelog = 200 * 1e6
						assert.NilError(s.t, running.Apply(options))
					}
				}
				s.sendMessages("turn", 3)
				last := s.callSeq
				s.waitForMessage(s.reader, last)
				s.w.Isolate("a1")
				withdrawal := s.withdrawPending("turn", "a1")
				inject(s)
				s.waitForWrites("turn")
				s.expectPending(withdrawal, "a1")
				s.w.Heal()
				response := s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery)
				s.resumeReader()
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.Shown), "shown to one who came back")
			})
		})
	}
}

// All lose their power between the mark and its yes: the routers come back under other boots, hold
// nothing, and the yes comes without the old ones.
func TestWithdrawalCompletesAfterAllRestart(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 920, 1, func(s *withdrawalScenario) {
		s.sendMessages("turn", 3)
		s.waitForMessage(s.reader, s.callSeq)
		s.w.Isolate("a1")
		withdrawal := s.withdrawPending("turn", "a1")
		for _, node := range s.w.Names {
			s.w.LosePower(node, s.w.Int(2) == 0)
		}
		s.w.Heal()
		time.Sleep(time.Second)
		assert.NilError(s.t, s.w.Start(s.w.Names...))
		assert.NilError(s.t, s.w.WaitReady(s.w.Site.Timing.Recovery))
		s.writer = s.reconnect("a2", "lead")
		response := s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery)
		s.resumeReader()
		assert.Assert(s.t, !s.receivedAfter(s.reader, withdrawal.Call-1, response.Shown), "shown to one who came back")
		s.otherReader.End()
		s.otherReader = s.reconnect("a3", "far")
	})
}

// A withdrawal and its own message are offered at two nodes at once, or it names what has not come:
// in whichever order they are decided, nothing withdrawn is shown after the yes, and a number that
// was passed over never arrives.
func TestWithdrawalRacesItsOwnMessage(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 930, 2, func(s *withdrawalScenario) {
		secondSession := s.clients.Scripted("a3", "lead")
		assert.Assert(s.t, secondSession != nil)
		passed, accepted := 0, 0
		for i := range 30 {
			messageSeq, withdrawalSeq := s.nextCallSeq(), s.nextCallSeq()
			headStart := time.Duration(i%5-2) * s.w.Site.Latency / 2
			sent := make(chan struct{})
			go func() {
				time.Sleep(-headStart)
				secondSession.SendAsync(scenarioTopic, "race", messageSeq)
				close(sent)
			}()
			time.Sleep(headStart)
			_, ok := s.writer.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "race", Call: withdrawalSeq, Of: "lead", Upto: messageSeq})
			assert.Assert(s.t, ok)
			<-sent
			a, ok := secondSession.Wait(0, scriptedTimeout, func(a session.Response) bool {
				return a.CallSeq == messageSeq && (a.Type == session.Accepted || a.InReplyTo == session.Send && simclient.Promises[apierror.From(a.Err).Code])
			})
			assert.Assert(s.t, ok, "no answer to %d", messageSeq)
			if a.Type == session.Accepted {
				accepted++
			} else {
				assert.Assert(s.t, apierror.HasCode(a.Err, apierror.CallPassed), "%v", a.Err)
				passed++
			}
		}
		s.t.Logf("raced: %d taken, %d passed", accepted, passed)
		assert.Assert(s.t, accepted > 0 && passed > 0, "void: %d taken, %d passed", accepted, passed)
		otherClient := s.reconnect("a3", "foe")
		for i := range 5 {
			upTo := uint64(10 * (i + 1))
			response, ok := s.writer.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "foe", Call: s.nextCallSeq(), Of: "foe", Upto: upTo})
			assert.Assert(s.t, ok && response.Type == session.WithdrawalComplete, "%v", response.Err)
			response, ok = otherClient.Send(scenarioTopic, "foe", upTo-1)
			assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.CallPassed), "%s %v", response.Type, response.Err)
			assert.Assert(s.t, otherClient.SendAccepted(scenarioTopic, "foe", upTo+1))
		}
		secondSession.End()
		otherClient.End()
	})
}

// What withdrawals answer besides a yes.
func TestAnswersToWithdrawals(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 940, 1, func(s *withdrawalScenario) {
		response, ok := s.writer.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "nothing", Call: s.nextCallSeq()})
		assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.KeyUnknown), "%s %v", response.Type, response.Err)
		s.sendMessages("turn", 1)
		withdrawal := deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}
		first := s.waitWithdrawn(withdrawal, time.Second)
		assert.Equal(s.t, first.Key, "turn")
		s.waitWithdrawn(withdrawal, time.Second)
		s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, time.Second)
		other := s.reconnect("a3", "other")
		s.sendMessages("turn", 1)
		response, ok = other.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: 1})
		assert.Assert(s.t, ok && response.Type == session.WithdrawalComplete, "%s %v", response.Type, response.Err)
		s.sendMessages("turn", 1)
		s.waitForMessage(s.otherReader, s.callSeq)
		s.waitForMessage(s.reader, s.callSeq)
		other.End()
	})
}

// A withdrawal of what was withdrawn before is answered by the mark that stands, also when it is
// asked for again after the key was written anew: what was written then stays.
func TestWithdrawnTwiceRetainsLaterMessages(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 945, 1, func(s *withdrawalScenario) {
		other := s.reconnect("a3", "other")
		s.sendMessages("turn", 2)
		s.waitForMessage(s.reader, s.callSeq)
		s.w.Isolate("a1")
		withdrawal := s.withdrawPending("turn", "a1")
		second := deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: 1}
		response, ok := other.Withdraw(second)
		assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.WithdrawalOpen), "%s %v", response.Type, response.Err)
		s.sendMessages("turn", 1)
		laterCallSeq := s.callSeq
		response, ok = other.Withdraw(second)
		assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.WithdrawalOpen), "%s %v", response.Type, response.Err)
		assert.Assert(s.t, other.SendAccepted(scenarioTopic, "", 2))
		response, ok = other.Withdraw(second)
		assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.WithdrawalOpen), "%s %v", response.Type, response.Err)
		s.w.Heal()
		s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery)
		response, ok = other.Withdraw(second)
		assert.Assert(s.t, ok && response.Type == session.WithdrawalComplete, "%s %v", response.Type, response.Err)
		s.resumeReader()
		s.waitForMessage(s.reader, laterCallSeq)
		other.End()
	})
}

// The routers can't reach one another, in one way or both, and all reach the stores: nothing waits,
// as no router asks another.
func TestRoutersCutFromEachOtherWithdraw(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 950, 1, func(s *withdrawalScenario) {
				s.w.Cut("a1", "a2")
				s.w.Cut("a1", "a3")
				if bothWays {
					s.w.Cut("a2", "a1")
					s.w.Cut("a3", "a1")
				}
				for range 10 {
					s.sendMessages("turn", 2)
					s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, s.w.Site.Timing.CallTimeout())
				}
				s.sendMessages("turn", 1)
				s.waitForMessage(s.reader, s.callSeq)
			})
		})
	}
}

// An owner that was superseded still answers the router that nobody else reaches, with the message
// that its successor's line has withdrawn. The yes waits for that router.
func TestSupersededLeaderStillAnswers(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runWithdrawalScenario(t, 960, 1, func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.sendMessages("turn", 3)
		last := s.callSeq
		s.waitForMessage(s.reader, last)
		for _, node := range s.w.Names {
			for _, isolated := range []string{leaderNode, "a1"} {
				if node != leaderNode && node != "a1" {
					s.w.Cut(node, isolated)
					s.w.Cut(isolated, node)
				}
			}
		}
		pollsBefore := s.w.Parts("a1", router.Poll.Path)
		s.waitForFailover(leaderNode)
		s.waitForWrites("")
		withdrawal := s.withdrawPending("turn", "a1")
		other := s.clients.Scripted("a1", "other")
		if other != nil {
			_, _ = other.Follow(scenarioTopic, "")
		}
		time.Sleep(2 * time.Second)
		s.expectPending(withdrawal, "a1")
		assert.Assert(s.t, s.w.Parts("a1", router.Poll.Path) > pollsBefore, "void: the old owner was not asked")
		s.w.Heal()
		s.waitWithdrawn(withdrawal, s.w.Site.Timing.Recovery)
		s.resumeReader()
		if other != nil {
			other.End()
		}
	})
}

// A router is away for longer than the keeping time and the lease: it is given up, which the yes
// says, marks go, and when it is back it starts clean. One that is heard and hears nothing is not
// given up, as it may be licensed by others.
func TestUnreachableRouterIsGivenUp(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range routerFaults {
		if name == "deaf" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 970, 1, func(s *withdrawalScenario) {
				s.sendMessages("turn", 3)
				last := s.callSeq
				s.waitForMessage(s.reader, last)
				restore := inject(s.w)
				withdrawal := s.withdrawPending("turn", "a1")
				start := time.Now()
				response := s.waitWithdrawn(withdrawal, s.w.Site.Timing.Retention()+2*s.w.Site.Timing.Recovery)
				assert.Assert(s.t, slices.Contains(response.GivenUp, "a1"), "the yes names %v", response.GivenUp)
				elapsed := time.Since(start)
				s.t.Logf("given up after %s", elapsed)
				assert.Assert(s.t, elapsed >= s.w.Site.Timing.Keeping, "given up after %s", elapsed)
				for range 5 {
					s.sendMessages("turn", 1)
					s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, s.w.Site.Timing.CallTimeout())
				}
				restore()
				s.restartReader()
			})
		})
	}
}
