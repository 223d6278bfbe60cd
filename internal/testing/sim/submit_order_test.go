package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/testing/history"
)

// definiteRejections are the codes which promise that the attempt was not accepted.
var definiteRejections = map[apierror.Code]bool{apierror.NoPartitionLeader: true, apierror.Overloaded: true, apierror.CallPassed: true}

type numberedMessage struct {
	history.Message
	body   string
	sentAt time.Time
}

// numberingClient is a client that numbers its calls across all its topics and has up to 8 pending.
// It retries calls with an unknown outcome, now and then an accepted one too, and moves between
// nodes with its pending calls. mu guards node, pending, accepted and outcomes.
type numberingClient struct {
	world    *World
	name     string
	topics   []string
	rng      *rand.Rand
	mu       sync.Mutex
	node     string
	pending  map[uint64]numberedMessage
	accepted []numberedMessage
	outcomes map[string]int
	inFlight *sync.WaitGroup
}

func (c *numberingClient) submit(message numberedMessage, through string) {
	running := c.world.Machines[through].Node()
	if running == nil {
		return
	}
	c.world.History.Try(message.Message)
	c.world.History.Send(message.Message, message.body, false, time.Now())
	partitionID := partition.Of(message.Topic, false, running.VoterSet().Layout)
	c.inFlight.Add(1)
	running.Clients.Router.SubmitAsync(c.world.ctx, partitionID, &leader.Message{Client: c.name, Topic: message.Topic, CallSeq: message.Call, Body: []byte(message.body)}, time.Now().Add(time.Second), func(decision *leader.Decision, err error) {
		defer c.inFlight.Done()
		c.complete(message, decision, err)
	})
}

func (c *numberingClient) complete(message numberedMessage, decision *leader.Decision, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := string(apierror.From(err).Code)
	if err == nil {
		outcome = map[bool]string{false: "accepted", true: "duplicate"}[decision.Duplicate]
		c.world.History.AcceptMessage(message.Message, decision.Partition, decision.Offset, time.Now())
		if _, ok := c.pending[message.Call]; ok {
			c.accepted = append(c.accepted, message)
		}
		delete(c.pending, message.Call)
	}
	c.outcomes[outcome]++
	if err != nil && definiteRejections[apierror.From(err).Code] {
		c.world.History.Reject(message.Message)
		delete(c.pending, message.Call)
	}
	if apierror.HasCode(err, apierror.CallPassed) {
		c.world.History.Pass(message.Message)
	}
	if err != nil && !definiteRejections[apierror.From(err).Code] && !apierror.HasCode(err, apierror.OutcomeUnknown) {
		c.world.History.Violate(history.Lost, "%v was answered with %v", message.Message, err)
	}
}

// run sends messages until ctx ends.
func (c *numberingClient) run(ctx context.Context, nodes []string) {
	for call := uint64(0); ctx.Err() == nil; {
		time.Sleep(time.Duration(10+c.rng.IntN(50)) * time.Millisecond)
		c.mu.Lock()
		node := c.node
		var retried []numberedMessage
		isMoved := c.rng.IntN(40) == 0
		if isMoved {
			c.node = nodes[c.rng.IntN(len(nodes))]
			node = c.node
		}
		for callSeq, message := range c.pending {
			if time.Since(message.sentAt) > 4*time.Second {
				delete(c.pending, callSeq)
			} else if isMoved || c.rng.IntN(12) == 0 {
				retried = append(retried, message)
			}
		}
		for len(c.accepted) > 0 && time.Since(c.accepted[0].sentAt) > 10*time.Second {
			c.accepted = c.accepted[1:]
		}
		if n := len(c.accepted); n > 0 && c.rng.IntN(6) == 0 {
			retried = append(retried, c.accepted[c.rng.IntN(n)])
		}
		isFull := len(c.pending) >= 8
		var next numberedMessage
		if !isFull {
			call += 1 + uint64(c.rng.IntN(3))
			topic := c.topics[c.rng.IntN(len(c.topics))]
			next = numberedMessage{history.Message{Topic: topic, From: c.name, Call: call}, fmt.Sprintf(`"%s %s %d"`, c.name, topic, call), time.Now()}
			c.pending[call] = next
		}
		c.mu.Unlock()
		for _, message := range retried {
			c.submit(message, node)
		}
		if !isFull {
			c.submit(next, node)
		}
	}
}

// readPartition reads all messages of the given topics in a partition's log.
func readPartition(t *testing.T, w *World, partitionID int, topics map[string]bool) []history.Receipt {
	t.Helper()
	var receipts []history.Receipt
	for offset := uint64(0); ; {
		page, err := w.Machines["a1"].Node().Clients.Router.Read(w.ctx, partitionID, offset, 0)
		assert.NilError(t, err)
		if len(page.Entries) == 0 {
			return receipts
		}
		for _, entry := range page.Entries {
			if entry.Type == log.TypeMessage && topics[entry.Topic] {
				receipts = append(receipts, history.Receipt{Message: history.Message{Topic: entry.Topic, From: entry.Client, Call: entry.CallSeq}, Body: string(entry.Body), Partition: partitionID, Offset: entry.Offset, At: time.Now()})
			}
		}
		offset = page.To
	}
}

// Several nodes submit numbered messages of the same clients, and the same number also through two
// of them. Meanwhile batches and responses are lost, paused or delayed beyond the deadline of their
// request, and partition leaders change. The call numbers in the log increase. An acknowledged
// message is at the offset that was reported. A message that was rejected finally, or at every
// attempt, is not in the log.
func TestSubmittedInOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		runFleet(t, siteForSeed(seed), 900+seed, func(t *testing.T, w *World) {
			applyConfiguration(t, w)
			w.Watch()
			topics := []string{"kept/t0", "kept/t1", "kept/t2", "kept/t3"}
			measuredTopics := map[string]bool{}
			partitionIDs := map[int]bool{}
			for _, topic := range topics {
				measuredTopics[topic] = true
				partitionIDs[partition.Of(topic, false, w.Machines["a1"].Node().VoterSet().Layout)] = true
			}
			isSubmitMany := func(call CallPoint) bool { return call.Path == router.SubmitMany.Path }
			start := time.Now()
			ctx, stop := context.WithCancel(w.ctx)
			var wg, inFlight sync.WaitGroup
			outcomes := map[string]int{}
			var clients []*numberingClient
			for i := range 5 {
				rng := rand.New(rand.NewPCG(seed, uint64(i)))
				client := &numberingClient{world: w, name: fmt.Sprintf("v%d", i), topics: topics, rng: rng, node: "a1", pending: map[uint64]numberedMessage{}, outcomes: map[string]int{}, inFlight: &inFlight}
				clients = append(clients, client)
				wg.Go(func() { client.run(ctx, []string{"a1", "c1", "c2", "s1"}) })
			}
			paused := 0
			var disturbed atomic.Int64
			faultOrder := rand.New(rand.NewPCG(seed, 99)).Perm(6)
			for i := 0; time.Since(start) < 26*time.Second; i++ {
				time.Sleep(time.Duration(500+w.Int(500)) * time.Millisecond)
				leaderNode := w.records()[partition.Of(topics[w.Int(len(topics))], false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
				switch faultOrder[i%len(faultOrder)] {
				case 0:
					end := w.InterceptCalls(func(call CallPoint) CallFault {
						if !isSubmitMany(call) || call.Stage != RequestStage || w.Int(3) > 0 {
							return CallFault{}
						}
						disturbed.Add(1)
						return []CallFault{{Lose: true}, {Delay: time.Duration(w.Int(2000)) * time.Millisecond}, {Duplicate: time.Duration(1+w.Int(4000)) * time.Millisecond}}[w.Int(3)]
					})
					time.Sleep(2 * time.Second)
					end()
				case 1:
					release, hits := w.PauseCalls(func(call CallPoint) bool { return isSubmitMany(call) && call.Stage == ResponseStage && w.Int(2) == 0 })
					time.Sleep(time.Duration(200+w.Int(1800)) * time.Millisecond)
					release()
					paused += hits()
				case 2:
					w.DropPackets(0.1)
					time.Sleep(2 * time.Second)
					w.DropPackets(0)
				case 3:
					if leaderNode != "" && w.Machines[leaderNode].Up() {
						w.Kill(leaderNode)
						assert.NilError(t, w.WaitUntil(8*time.Second, "another leader", func() bool {
							for _, record := range w.records() {
								if record.Leader == leaderNode {
									return false
								}
							}
							return true
						}))
						time.Sleep(time.Second)
						assert.NilError(t, w.Start(leaderNode))
					}
				case 4:
					if leaderNode != "" && w.Machines[leaderNode].Up() {
						w.Freeze(leaderNode)
						time.Sleep(3 * time.Second)
						w.Thaw(leaderNode)
					}
				case 5:
					if leaderNode != "" && w.Machines[leaderNode].Up() {
						w.Isolate(leaderNode)
						time.Sleep(3 * time.Second)
						w.Heal()
					}
				}
			}
			stop()
			wg.Wait()
			inFlight.Wait()
			assert.NilError(t, w.WaitReady(20*time.Second))
			reading := history.Reading{Through: "the partition leaders", Topics: measuredTopics, Since: start}
			for partitionID := range partitionIDs {
				reading.Got = append(reading.Got, readPartition(t, w, partitionID, measuredTopics)...)
			}
			w.History.ReadMessages(reading)
			for _, client := range clients {
				for outcome, count := range client.outcomes {
					outcomes[outcome] += count
				}
			}
			t.Logf("seed %d: %v, %d disturbed, %d paused, %d terms", seed, outcomes, disturbed.Load(), paused, w.History.Terms())
			assert.Assert(t, outcomes["accepted"] > 500 && outcomes["duplicate"] > 20 && outcomes["call_passed"] > 0, "void: %v", outcomes)
			assert.Assert(t, w.History.Terms() > len(w.records()), "void: no leader changed")
		})
	}
}
