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

// routerFaults are the ways in which a router becomes unreachable while its clients stay connected.
// Each returns the function that ends the fault.
var routerFaults = map[string]func(w *World) (restore func()){
	"cut off": func(w *World) func() {
		w.Isolate("a1")
		return w.Heal
	},
	"receives nothing": func(w *World) func() {
		w.Cut("*", "a1")
		return w.Heal
	},
	"sends nothing": func(w *World) func() {
		w.Cut("a1", "*")
		return w.Heal
	},
	"frozen": func(w *World) func() {
		w.Freeze("a1")
		return func() { w.Thaw("a1") }
	},
}

// A router becomes unreachable while its clients lag behind. A key is withdrawn meanwhile, and the
// router returns with the messages that it had buffered. The withdrawal is pending at once, and the
// answer names the router. The acknowledgement comes after the return, and nothing withdrawn is
// delivered after it. All other clients get live updates as fast as before.
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
				restore := inject(s.world)
				withdrawal := s.withdrawPending("turn", "a1")
				degraded := s.measureDelays("turn", 2*time.Second)
				s.expectPending(withdrawal, "a1")
				restore()
				response := s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery)
				time.Sleep(6 * time.Second)
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.WrittenAt), "delivered after the withdrawal was acknowledged")
				s.t.Logf("live updates: baseline p50 %s p99 %s, with an unreachable router p50 %s p99 %s", quantile(baseline, 0.5), quantile(baseline, 0.99), quantile(degraded, 0.5), quantile(degraded, 0.99))
				assert.Assert(s.t, len(degraded) > 10 && quantile(degraded, 0.99) <= quantile(baseline, 0.99)+5*time.Millisecond, "baseline p99 %s, with an unreachable router %s of %d", quantile(baseline, 0.99), quantile(degraded, 0.99), len(degraded))
				s.resumeReader()
			})
		})
	}
}

// A router sends but receives nothing, from any node or from the partition leader of the topic. It
// must not keep a withdrawal pending for longer than the recovery time: it releases all messages
// and reports so, and the report arrives.
func TestRouterThatReceivesNothingReleasesMessages(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range map[string]func(s *withdrawalScenario){
		"from all":        func(s *withdrawalScenario) { s.world.Cut("*", "a1") },
		"from the leader": func(s *withdrawalScenario) { s.world.Cut(s.partitionLeader(), "a1") },
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
				response := s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery+s.world.Site.Timing.CallTimeout())
				s.measureDelays("turn", time.Second)
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.WrittenAt), "delivered after the withdrawal was acknowledged")
				s.world.Heal()
				s.resumeReader()
			})
		})
	}
}

// leaderFaults happen between a tombstone and its acknowledgement, while a router is unreachable.
var leaderFaults = map[string]func(s *withdrawalScenario){
	"the leader is killed": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.world.Kill(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.world.Start(leaderNode))
	},
	"the leader is frozen": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.world.Freeze(leaderNode)
		s.waitForFailover(leaderNode)
		s.world.Thaw(leaderNode)
	},
	"the leader hands over": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.world.Terminate(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.world.Start(leaderNode))
	},
	"the leader's disk is wiped": func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.world.Wipe(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.world.Start(leaderNode))
	},
	"the changelog is compacted": func(s *withdrawalScenario) {
		before := s.compactions()
		for range 90 {
			s.sendMessages("", 1)
			time.Sleep(s.world.Site.Timing.MaxBackoff())
		}
		assert.Assert(s.t, s.compactions() > before, "void: no changelog was compacted")
		leaderNode := s.partitionLeader()
		s.world.Kill(leaderNode)
		s.waitForFailover(leaderNode)
		assert.NilError(s.t, s.world.Start(leaderNode))
	},
	"every storage and control node restarts": func(s *withdrawalScenario) {
		for _, node := range s.world.Names {
			if node[0] != 'a' {
				s.world.LosePower(node, s.world.Int(2) == 0)
			}
		}
		time.Sleep(time.Second)
		assert.NilError(s.t, s.world.Start(s.world.Names...))
	},
}

// A tombstone and its readers survive a failover of their partition. While a router that buffers
// the message is unreachable, the withdrawal is not acknowledged, whichever node leads the
// partition.
func TestWithdrawalWaitsForTheRouterAcrossFailovers(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range leaderFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 910, 1, func(s *withdrawalScenario) {
				for _, machine := range s.world.Machines {
					if running := machine.Node(); running != nil && strings.Contains(name, "compacted") {
						options := machine.Opts
						options.Changelog = 200 * 1e6
						assert.NilError(s.t, running.Apply(options))
					}
				}
				s.sendMessages("turn", 3)
				last := s.callSeq
				s.waitForMessage(s.reader, last)
				s.world.Isolate("a1")
				withdrawal := s.withdrawPending("turn", "a1")
				inject(s)
				s.waitForWrites("turn")
				s.expectPending(withdrawal, "a1")
				s.world.Heal()
				response := s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery)
				s.resumeReader()
				assert.Assert(s.t, !s.receivedAfter(s.reader, last, response.WrittenAt), "delivered to a client that reconnected")
			})
		})
	}
}

// All nodes lose power between the tombstone and its acknowledgement. The routers return with new
// boot identifiers and without messages, and the acknowledgement does not wait for the old ones.
func TestWithdrawalCompletesAfterAllRestart(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 920, 1, func(s *withdrawalScenario) {
		s.sendMessages("turn", 3)
		s.waitForMessage(s.reader, s.callSeq)
		s.world.Isolate("a1")
		withdrawal := s.withdrawPending("turn", "a1")
		for _, node := range s.world.Names {
			s.world.LosePower(node, s.world.Int(2) == 0)
		}
		s.world.Heal()
		time.Sleep(time.Second)
		assert.NilError(s.t, s.world.Start(s.world.Names...))
		assert.NilError(s.t, s.world.WaitReady(s.world.Site.Timing.Recovery))
		s.writer = s.reconnect("a2", "lead")
		response := s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery)
		s.resumeReader()
		assert.Assert(s.t, !s.receivedAfter(s.reader, withdrawal.Call-1, response.WrittenAt), "delivered to a client that reconnected")
		s.otherReader.End()
		s.otherReader = s.reconnect("a3", "far")
	})
}

// A withdrawal and the message that it withdraws are submitted through two nodes at once, or the
// withdrawal names a message that has not arrived. In whichever order they are decided, nothing
// withdrawn is delivered after the acknowledgement, and a call number that was passed over never
// arrives.
func TestWithdrawalRacesItsOwnMessage(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 930, 2, func(s *withdrawalScenario) {
		secondSession := s.clients.ConnectScripted("a3", "lead")
		assert.Assert(s.t, secondSession != nil)
		passed, accepted := 0, 0
		for i := range 30 {
			messageSeq, withdrawalSeq := s.nextCallSeq(), s.nextCallSeq()
			headStart := time.Duration(i%5-2) * s.world.Site.Latency / 2
			sent := make(chan struct{})
			go func() {
				time.Sleep(-headStart)
				secondSession.SendAsync(scenarioTopic, "race", messageSeq)
				close(sent)
			}()
			time.Sleep(headStart)
			_, ok := s.writer.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "race", Call: withdrawalSeq, Sender: "lead", UpTo: messageSeq})
			assert.Assert(s.t, ok)
			<-sent
			response, ok := secondSession.Wait(0, scriptedTimeout, func(response session.Response) bool {
				return response.CallSeq == messageSeq && (response.Type == session.Accepted || response.InReplyTo == session.Send && simclient.FinalRejections[apierror.From(response.Err).Code])
			})
			assert.Assert(s.t, ok, "no answer to %d", messageSeq)
			if response.Type == session.Accepted {
				accepted++
			} else {
				assert.Assert(s.t, apierror.HasCode(response.Err, apierror.CallPassed), "%v", response.Err)
				passed++
			}
		}
		s.t.Logf("raced: %d accepted, %d passed over", accepted, passed)
		assert.Assert(s.t, accepted > 0 && passed > 0, "void: %d accepted, %d passed over", accepted, passed)
		otherClient := s.reconnect("a3", "foe")
		for i := range 5 {
			upTo := uint64(10 * (i + 1))
			response, ok := s.writer.Withdraw(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "foe", Call: s.nextCallSeq(), Sender: "foe", UpTo: upTo})
			assert.Assert(s.t, ok && response.Type == session.WithdrawalComplete, "%v", response.Err)
			response, ok = otherClient.Send(scenarioTopic, "foe", upTo-1)
			assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.CallPassed), "%s %v", response.Type, response.Err)
			assert.Assert(s.t, otherClient.SendAccepted(scenarioTopic, "foe", upTo+1))
		}
		secondSession.End()
		otherClient.End()
	})
}

// Withdrawals are also answered for an unknown key, when repeated, and when another client asks.
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

// A second withdrawal of the same messages is answered by the existing tombstone. The same applies
// when it is repeated after another message under the key: the later message remains.
func TestWithdrawnTwiceRetainsLaterMessages(t *testing.T) {
	t.Parallel()
	runWithdrawalScenario(t, 945, 1, func(s *withdrawalScenario) {
		other := s.reconnect("a3", "other")
		s.sendMessages("turn", 2)
		s.waitForMessage(s.reader, s.callSeq)
		s.world.Isolate("a1")
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
		s.world.Heal()
		s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery)
		response, ok = other.Withdraw(second)
		assert.Assert(s.t, ok && response.Type == session.WithdrawalComplete, "%s %v", response.Type, response.Err)
		s.resumeReader()
		s.waitForMessage(s.reader, laterCallSeq)
		other.End()
	})
}

// The routers can't reach one another, in one direction or both, and all reach the storage nodes.
// No withdrawal waits, as no router asks another.
func TestRoutersCutFromEachOtherWithdraw(t *testing.T) {
	t.Parallel()
	for name, bothWays := range map[string]bool{"one way": false, "both ways": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 950, 1, func(s *withdrawalScenario) {
				s.world.Cut("a1", "a2")
				s.world.Cut("a1", "a3")
				if bothWays {
					s.world.Cut("a2", "a1")
					s.world.Cut("a3", "a1")
				}
				for range 10 {
					s.sendMessages("turn", 2)
					s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, s.world.Site.Timing.CallTimeout())
				}
				s.sendMessages("turn", 1)
				s.waitForMessage(s.reader, s.callSeq)
			})
		})
	}
}

// A superseded partition leader keeps answering a router that no other node reaches, with the
// message that is withdrawn in its successor's log. The acknowledgement waits for that router.
func TestSupersededLeaderStillAnswers(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runWithdrawalScenario(t, 960, 1, func(s *withdrawalScenario) {
		leaderNode := s.partitionLeader()
		s.sendMessages("turn", 3)
		last := s.callSeq
		s.waitForMessage(s.reader, last)
		for _, node := range s.world.Names {
			for _, isolated := range []string{leaderNode, "a1"} {
				if node != leaderNode && node != "a1" {
					s.world.Cut(node, isolated)
					s.world.Cut(isolated, node)
				}
			}
		}
		pollsBefore := s.world.CallsInvolving("a1", router.Poll.Path)
		s.waitForFailover(leaderNode)
		s.waitForWrites("")
		withdrawal := s.withdrawPending("turn", "a1")
		other := s.clients.ConnectScripted("a1", "other")
		if other != nil {
			_, _ = other.Subscribe(scenarioTopic, "")
		}
		time.Sleep(2 * time.Second)
		s.expectPending(withdrawal, "a1")
		assert.Assert(s.t, s.world.CallsInvolving("a1", router.Poll.Path) > pollsBefore, "void: the old leader was not asked")
		s.world.Heal()
		s.waitWithdrawn(withdrawal, s.world.Site.Timing.Recovery)
		s.resumeReader()
		if other != nil {
			other.End()
		}
	})
}

// A router is unreachable for longer than the retention and the lease. It is given up, and the
// acknowledgement says so. Tombstones are removed, and the returning router starts without
// messages. A router that sends but receives nothing is not given up, as others may confirm its
// lease.
func TestUnreachableRouterIsGivenUp(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	for name, inject := range routerFaults {
		if name == "receives nothing" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runWithdrawalScenario(t, 970, 1, func(s *withdrawalScenario) {
				s.sendMessages("turn", 3)
				last := s.callSeq
				s.waitForMessage(s.reader, last)
				restore := inject(s.world)
				withdrawal := s.withdrawPending("turn", "a1")
				start := time.Now()
				response := s.waitWithdrawn(withdrawal, s.world.Site.Timing.Retention()+2*s.world.Site.Timing.Recovery)
				assert.Assert(s.t, slices.Contains(response.GivenUp, "a1"), "the acknowledgement names %v", response.GivenUp)
				elapsed := time.Since(start)
				s.t.Logf("given up after %s", elapsed)
				assert.Assert(s.t, elapsed >= s.world.Site.Timing.Keeping, "given up after %s", elapsed)
				for range 5 {
					s.sendMessages("turn", 1)
					s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, s.world.Site.Timing.CallTimeout())
				}
				restore()
				s.restartReader()
			})
		})
	}
}
