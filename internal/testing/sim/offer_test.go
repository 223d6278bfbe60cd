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

var promises = map[apierror.Code]bool{apierror.NoPartitionLeader: true, apierror.Overloaded: true, apierror.CallPassed: true}

type offered struct {
	history.Message
	body string
	at   time.Time
}

// offerer stands in for a visitor that counts once for all its topics, keeps up to 8 calls open,
// sends unclear ones again, now and then an old one too, and moves between nodes with what is open.
type offerer struct {
	w      *World
	name   string
	topics []string
	r      *rand.Rand
	mu     sync.Mutex
	node   string
	open   map[uint64]offered
	old    []offered
	tally  map[string]int
	wg     *sync.WaitGroup
}

func (v *offerer) offer(m offered, through string) {
	n := v.w.Machines[through].Node()
	if n == nil {
		return
	}
	v.w.History.Try(m.Message)
	v.w.History.Send(m.Message, m.body, false, time.Now())
	p := partition.Of(m.Topic, false, n.VoterSet().Layout)
	v.wg.Add(1)
	n.Clients.Router.SubmitAsync(v.w.ctx, p, &leader.Message{Client: v.name, Topic: m.Topic, CallSeq: m.Call, Body: []byte(m.body)}, time.Now().Add(time.Second), func(d *leader.Decision, err error) {
		defer v.wg.Done()
		v.complete(m, d, err)
	})
}

func (v *offerer) complete(m offered, d *leader.Decision, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	k := string(apierror.From(err).Code)
	if err == nil {
		k = map[bool]string{false: "taken", true: "repeat"}[d.Duplicate]
		v.w.History.AcceptMessage(m.Message, d.Partition, d.Offset, time.Now())
		if _, ok := v.open[m.Call]; ok {
			v.old = append(v.old, m)
		}
		delete(v.open, m.Call)
	}
	v.tally[k]++
	if err != nil && promises[apierror.From(err).Code] {
		v.w.History.Reject(m.Message)
		delete(v.open, m.Call)
	}
	if apierror.HasCode(err, apierror.CallPassed) {
		v.w.History.Pass(m.Message)
	}
	if err != nil && !promises[apierror.From(err).Code] && !apierror.HasCode(err, apierror.OutcomeUnknown) {
		v.w.History.Violate(history.Lost, "%v was told %v", m.Message, err)
	}
}

// run sends until ctx ends.
func (v *offerer) run(ctx context.Context, nodes []string) {
	for call := uint64(0); ctx.Err() == nil; {
		time.Sleep(time.Duration(10+v.r.IntN(50)) * time.Millisecond)
		v.mu.Lock()
		node := v.node
		var again []offered
		moved := v.r.IntN(40) == 0
		if moved {
			v.node = nodes[v.r.IntN(len(nodes))]
			node = v.node
		}
		for c, m := range v.open {
			if time.Since(m.at) > 4*time.Second {
				delete(v.open, c)
			} else if moved || v.r.IntN(12) == 0 {
				again = append(again, m)
			}
		}
		for len(v.old) > 0 && time.Since(v.old[0].at) > 10*time.Second {
			v.old = v.old[1:]
		}
		if n := len(v.old); n > 0 && v.r.IntN(6) == 0 {
			again = append(again, v.old[v.r.IntN(n)])
		}
		full := len(v.open) >= 8
		var next offered
		if !full {
			call += 1 + uint64(v.r.IntN(3))
			t := v.topics[v.r.IntN(len(v.topics))]
			next = offered{history.Message{Topic: t, From: v.name, Call: call}, fmt.Sprintf(`"%s %s %d"`, v.name, t, call), time.Now()}
			v.open[call] = next
		}
		v.mu.Unlock()
		for _, m := range again {
			v.offer(m, node)
		}
		if !full {
			v.offer(next, node)
		}
	}
}

// whole reads all that a partition's ledger holds.
func whole(t *testing.T, w *World, p int, topics map[string]bool) []history.Receipt {
	t.Helper()
	var got []history.Receipt
	for at := uint64(0); ; {
		r, err := w.Machines["a1"].Node().Clients.Router.Read(w.ctx, p, at, 0)
		assert.NilError(t, err)
		if len(r.Entries) == 0 {
			return got
		}
		for _, e := range r.Entries {
			if e.Type == log.TypeMessage && topics[e.Topic] {
				got = append(got, history.Receipt{Message: history.Message{Topic: e.Topic, From: e.Client, Call: e.CallSeq}, Body: string(e.Body), Partition: p, Offset: e.Offset, At: time.Now()})
			}
		}
		at = r.To
	}
}

// Several nodes offer numbered messages of the same visitors, the same number through two of them
// too, while batches and answers are lost, held up or late beyond their caller's patience, and
// owners change. The ledger's order rises, what was told to be taken stands where it was told, and
// nothing that was turned away for good, or at every try, stands anywhere.
func TestOfferedInOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(seeds(4)) {
		stand(t, siteForSeed(seed), 900+seed, func(t *testing.T, w *World) {
			described(t, w)
			w.Watch()
			topics := []string{"kept/t0", "kept/t1", "kept/t2", "kept/t3"}
			here := map[string]bool{}
			parts := map[int]bool{}
			for _, x := range topics {
				here[x] = true
				parts[partition.Of(x, false, w.Machines["a1"].Node().VoterSet().Layout)] = true
			}
			many := func(x CallPoint) bool { return x.Path == router.SubmitMany.Path }
			begun := time.Now()
			ctx, stop := context.WithCancel(w.ctx)
			var wg, open sync.WaitGroup
			tally := map[string]int{}
			var vs []*offerer
			for i := range 5 {
				r := rand.New(rand.NewPCG(seed, uint64(i)))
				v := &offerer{w: w, name: fmt.Sprintf("v%d", i), topics: topics, r: r, node: "a1", open: map[uint64]offered{}, tally: map[string]int{}, wg: &open}
				vs = append(vs, v)
				wg.Go(func() { v.run(ctx, []string{"a1", "c1", "c2", "s1"}) })
			}
			holds := 0
			var lates atomic.Int64
			plan := rand.New(rand.NewPCG(seed, 99)).Perm(6)
			for i := 0; time.Since(begun) < 26*time.Second; i++ {
				time.Sleep(time.Duration(500+w.Int(500)) * time.Millisecond)
				o := w.records()[partition.Of(topics[w.Int(len(topics))], false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
				switch plan[i%len(plan)] {
				case 0:
					end := w.InterceptCalls(func(x CallPoint) CallFault {
						if !many(x) || x.Stage != RequestStage || w.Int(3) > 0 {
							return CallFault{}
						}
						lates.Add(1)
						return []CallFault{{Lose: true}, {Delay: time.Duration(w.Int(2000)) * time.Millisecond}, {Duplicate: time.Duration(1+w.Int(4000)) * time.Millisecond}}[w.Int(3)]
					})
					time.Sleep(2 * time.Second)
					end()
				case 1:
					release, hits := w.PauseCalls(func(x CallPoint) bool { return many(x) && x.Stage == ResponseStage && w.Int(2) == 0 })
					time.Sleep(time.Duration(200+w.Int(1800)) * time.Millisecond)
					release()
					holds += hits()
				case 2:
					w.DropPackets(0.1)
					time.Sleep(2 * time.Second)
					w.DropPackets(0)
				case 3:
					if o != "" && w.Machines[o].Up() {
						w.Kill(o)
						assert.NilError(t, w.WaitUntil(8*time.Second, "another owner", func() bool {
							for _, r := range w.records() {
								if r.Leader == o {
									return false
								}
							}
							return true
						}))
						time.Sleep(time.Second)
						assert.NilError(t, w.Start(o))
					}
				case 4:
					if o != "" && w.Machines[o].Up() {
						w.Freeze(o)
						time.Sleep(3 * time.Second)
						w.Thaw(o)
					}
				case 5:
					if o != "" && w.Machines[o].Up() {
						w.Isolate(o)
						time.Sleep(3 * time.Second)
						w.Heal()
					}
				}
			}
			stop()
			wg.Wait()
			open.Wait()
			assert.NilError(t, w.WaitReady(20*time.Second))
			book := history.Reading{Through: "the owners", Topics: here, Since: begun}
			for p := range parts {
				book.Got = append(book.Got, whole(t, w, p, here)...)
			}
			w.History.ReadMessages(book)
			for _, v := range vs {
				for k, n := range v.tally {
					tally[k] += n
				}
			}
			t.Logf("seed %d: %v, %d late, %d held, %d terms", seed, tally, lates.Load(), holds, w.History.Terms())
			assert.Assert(t, tally["taken"] > 500 && tally["repeat"] > 20 && tally["call_passed"] > 0, "void: %v", tally)
			assert.Assert(t, w.History.Terms() > len(w.records()), "void: no owner changed")
		})
	}
}
