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

// fourZoneSite is the site traductores with three access machines.
var fourZoneSite = Site{Zones: 4, Control: 4, Access: 3, Storage: 4, Latency: 1500 * time.Microsecond, Timing: Traductores.Timing, Routine: 4, Urgent: 2}

var withdrawalSites = map[string]Site{"armor": smallSite, "traductores": fourZoneSite}

// backgroundLoad is that of simulated clients which also send keyed messages and withdraw them.
var backgroundLoad = Load{Topics: 12, LiveTopics: 2, SendInterval: 2 * time.Second}

const scenarioTopic = "kept/t0"

// withdrawalScenario is a topic with a reader on the router a1, another reader on a3, and a writer
// on a2 that sends and withdraws.
type withdrawalScenario struct {
	t                   *testing.T
	world               *World
	clients             *LineClients
	reader, otherReader *ScriptedClient
	writer              *ScriptedClient
	callSeq             uint64
}

func (s *withdrawalScenario) nextCallSeq() uint64 {
	s.callSeq++
	return s.callSeq
}

// runWithdrawalScenario runs a script at both sites with connected clients, with some seeds each.
func runWithdrawalScenario(t *testing.T, seed uint64, seedsPerSite int, script func(s *withdrawalScenario)) {
	t.Helper()
	for name, site := range withdrawalSites {
		for i := range uint64(seeds(seedsPerSite)) {
			t.Run(fmt.Sprintf("%s/%d", name, seed+i), func(t *testing.T) {
				t.Parallel()
				runSessions(t, site, seed+i, backgroundLoad, 10, func(t *testing.T, w *World, clients *LineClients) {
					s := &withdrawalScenario{t: t, world: w, clients: clients, reader: clients.ConnectScripted("a1", "reader"), otherReader: clients.ConnectScripted("a3", "far"), writer: clients.ConnectScripted("a2", "lead")}
					assert.Assert(t, s.reader != nil && s.otherReader != nil && s.writer != nil)
					for _, client := range []*ScriptedClient{s.reader, s.otherReader} {
						_, ok := client.Subscribe(scenarioTopic, "")
						assert.Assert(t, ok, "%s can't subscribe", client.Name)
					}
					script(s)
					for _, client := range []*ScriptedClient{s.reader, s.otherReader, s.writer} {
						client.End()
					}
				})
			})
		}
	}
}

// sendMessages sends messages under a key from the writer until each is accepted.
func (s *withdrawalScenario) sendMessages(key string, count int) {
	s.t.Helper()
	for range count {
		s.sendMessage(key)
	}
}

// sendMessage sends one message from the writer. It uses another call number where a withdrawal by
// another client passed over the first.
func (s *withdrawalScenario) sendMessage(key string) {
	s.t.Helper()
	for range 4 {
		if s.writer.SendAccepted(scenarioTopic, key, s.nextCallSeq()) {
			return
		}
	}
	s.t.Fatalf("no message was accepted up to call number %d", s.callSeq)
}

// waitForMessage waits until a client receives a message of the writer.
func (s *withdrawalScenario) waitForMessage(client *ScriptedClient, callSeq uint64) {
	s.t.Helper()
	_, ok := client.Wait(0, scriptedTimeout, func(response session.Response) bool {
		return response.Type == session.Message && response.From == s.writer.Name && response.CallSeq == callSeq
	})
	assert.Assert(s.t, ok, "%s never got %d", client.Name, callSeq)
}

// withdrawPending withdraws the messages under a key. It expects an answer within the call timeout
// that names the router which has not released them.
func (s *withdrawalScenario) withdrawPending(key, node string) deliverycheck.Withdrawal {
	s.t.Helper()
	withdrawal := deliverycheck.Withdrawal{Topic: scenarioTopic, Key: key, Call: s.nextCallSeq()}
	s.expectPending(withdrawal, node)
	return withdrawal
}

func (s *withdrawalScenario) expectPending(withdrawal deliverycheck.Withdrawal, node string) {
	s.t.Helper()
	start := time.Now()
	response, ok := s.writer.Withdraw(withdrawal)
	elapsed := time.Since(start)
	assert.Assert(s.t, ok && apierror.HasCode(response.Err, apierror.WithdrawalOpen), "answered %s %v after %s", response.Type, response.Err, elapsed)
	assert.Assert(s.t, strings.Contains(response.Err.Error(), node), "%v does not name %s", response.Err, node)
	assert.Assert(s.t, elapsed <= s.world.Site.Timing.CallTimeout(), "the answer came after %s", elapsed)
}

// waitWithdrawn repeats a withdrawal until it is acknowledged.
func (s *withdrawalScenario) waitWithdrawn(withdrawal deliverycheck.Withdrawal, limit time.Duration) TimedResponse {
	s.t.Helper()
	end := time.Now().Add(limit)
	for {
		response, ok := s.writer.Withdraw(withdrawal)
		if ok && response.Type == session.WithdrawalComplete {
			return response
		}
		assert.Assert(s.t, time.Now().Before(end), "not acknowledged within %s: %v %s %v", limit, ok, response.Type, response.Err)
		time.Sleep(s.world.Site.Timing.MaxBackoff())
	}
}

// measureDelays sends updates from the writer for a while, every other one under a key. It returns
// how long they took to reach the other reader.
func (s *withdrawalScenario) measureDelays(key string, duration time.Duration) []time.Duration {
	s.t.Helper()
	start := time.Now()
	for i := 0; time.Since(start) < duration; i++ {
		messageKey := ""
		if i%2 == 0 {
			messageKey = key
		}
		s.sendMessage(messageKey)
		time.Sleep(20 * time.Millisecond)
	}
	s.waitForMessage(s.otherReader, s.callSeq)
	isExcluded := func(client string) bool { return client != "far" && client != "lead" }
	return s.clients.Checker.DeliveryLatencies(start, time.Now(), isExcluded)
}

func quantile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return durations[int(fraction*float64(len(durations)-1))]
}

// receivedAfter reports whether a client received a message of the writer after a point in time.
func (s *withdrawalScenario) receivedAfter(client *ScriptedClient, callSeq uint64, after time.Time) bool {
	return slices.ContainsFunc(client.Responses(), func(response TimedResponse) bool {
		return response.Type == session.Message && response.Topic == scenarioTopic && response.From == s.writer.Name && response.CallSeq == callSeq && response.WrittenAt.After(after)
	})
}

// resumeReader reconnects the reader to its router with its cursor until it receives a new message.
// The checker judges what it receives.
func (s *withdrawalScenario) resumeReader() {
	s.t.Helper()
	s.sendMessages("", 1)
	last := s.callSeq
	err := s.world.WaitUntil(s.world.Site.Timing.Recovery, "the reader resumes and receives what it missed", func() bool {
		previous := s.reader
		previous.Disconnect()
		client := s.clients.ConnectScripted("a1", "reader")
		if client == nil {
			return false
		}
		s.reader = client
		if _, ok := client.Resume(previous, scenarioTopic); !ok {
			return false
		}
		_, ok := client.Wait(0, time.Second, func(response session.Response) bool {
			return response.Type == session.Message && response.From == s.writer.Name && response.CallSeq == last
		})
		return ok
	})
	assert.NilError(s.t, err)
}

// partitionLeader returns the storage node that leads the topic's partition.
func (s *withdrawalScenario) partitionLeader() string {
	running := s.world.Machines["c1"].Node()
	return running.Store.Record(partition.Of(scenarioTopic, false, running.VoterSet().Layout)).Leader
}

func (s *withdrawalScenario) waitForFailover(from string) {
	s.t.Helper()
	assert.NilError(s.t, s.world.WaitUntil(s.world.Site.Timing.Recovery, "the partition has another leader", func() bool { return s.partitionLeader() != from }))
}

// waitForWrites waits until the topic's partition accepts messages, and then until the other nodes
// know its leader.
func (s *withdrawalScenario) waitForWrites(key string) {
	s.t.Helper()
	assert.NilError(s.t, s.world.WaitUntil(s.world.Site.Timing.Recovery, "the partition accepts messages again", func() bool { return s.writer.SendAccepted(scenarioTopic, key, s.nextCallSeq()) }))
	time.Sleep(s.world.Site.Timing.SessionTimeout())
}

func (s *withdrawalScenario) compactions() (sum uint64) {
	for _, view := range leaderViews(s.world) {
		sum += view.Counters.Compactions
	}
	return sum
}

func (s *withdrawalScenario) reconnect(node, name string) (client *ScriptedClient) {
	s.t.Helper()
	assert.NilError(s.t, s.world.WaitUntil(s.world.Site.Timing.Recovery, name+" reconnects", func() bool {
		client = s.clients.ConnectScripted(node, name)
		return client != nil
	}))
	return client
}

// restartReader reconnects the reader to its router without a cursor until it receives a message
// that is sent under a key.
func (s *withdrawalScenario) restartReader() {
	s.t.Helper()
	err := s.world.WaitUntil(2*s.world.Site.Timing.Recovery, "the reader receives messages", func() bool {
		s.reader.End()
		if s.reader = s.clients.ConnectScripted("a1", "reader"); s.reader == nil {
			s.reader = s.otherReader
			return false
		}
		if _, ok := s.reader.Subscribe(scenarioTopic, ""); !ok || !s.writer.SendAccepted(scenarioTopic, "turn", s.nextCallSeq()) {
			return false
		}
		_, ok := s.reader.Wait(0, time.Second, func(response session.Response) bool {
			return response.Type == session.Message && response.From == s.writer.Name && response.CallSeq == s.callSeq
		})
		return ok
	})
	assert.NilError(s.t, err)
	s.waitWithdrawn(deliverycheck.Withdrawal{Topic: scenarioTopic, Key: "turn", Call: s.nextCallSeq()}, s.world.Site.Timing.CallTimeout())
}
