package crash

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/disk/frame"
	"postjunction/internal/disk/journal"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/recordtype"
)

// gated lets one task in before each slice of a writing anew.
type gated struct {
	*Log
	slice func()
	count int
}

// Write opens the gate.
func (g *gated) Write(first uint64, recs [][]byte) error {
	for i, r := range recs {
		if f, err := frame.Decode(first+uint64(i), r); err == nil && f.Kind == recordtype.CompactionBegins {
			g.count++
			g.slice()
			break
		}
	}
	return g.Log.Write(first, recs)
}

// mutations is all that may happen to lines between two slices: appends, other tails, trims behind
// and ahead of the place reached, fresh starts, drops, cuts, directories, seals, promises.
func mutations(r *rand.Rand, e *uint64) func(s *store) error {
	ctx := context.Background()
	p, k := r.IntN(partitions), log.Kinds[r.IntN(2)]
	to := func(e uint64) replica.Target { return replica.Target{Partition: p, Incarnation: "i", Epoch: e} }
	some := func(l *log.Log) log.Position {
		b, t := l.Base().Offset, l.Last().Offset
		at, _ := l.Position(b + r.Uint64N(t-b+1))
		return at
	}
	put := func(after func(l *log.Log) log.Position, n int, reset bool) func(*store) error {
		return func(s *store) error {
			a := after(s.r.Log(p, k))
			x, err := s.r.Append(ctx, &replica.AppendRequest{Target: to(*e), Kind: k, After: a,
				Entries: entries(a, *e, n), Reset: reset})
			if err == nil && !x.Matched {
				err = fmt.Errorf("the lines did not match")
			}
			return err
		}
	}
	seal := func(f func(*store) error) func(*store) error {
		return func(s *store) error {
			*e++
			if _, err := s.r.Seal(ctx, &replica.SealRequest{Target: to(*e)}); err != nil {
				return err
			}
			return f(s)
		}
	}
	return []func(*store) error{
		put((*log.Log).Last, 1+r.IntN(90), false),
		put((*log.Log).Last, 1, false),
		seal(put(some, 1+r.IntN(90), false)),
		seal(func(s *store) error { return s.r.TruncateAfter(ctx, to(*e), k, some(s.r.Log(p, k)).Offset, false) }),
		func(s *store) error {
			l := s.r.Log(p, k)
			_, err := s.r.Append(ctx, &replica.AppendRequest{Target: to(*e), Kind: k, After: l.Last(), Base: some(l)})
			return err
		},
		seal(put(func(*log.Log) log.Position {
			return log.Position{Offset: uint64(r.IntN(200)), Epoch: *e - 1, Chain: 7}
		}, 1+r.IntN(90), true)),
		seal(func(s *store) error { _, err := s.r.Drop(ctx, &replica.DropRequest{Target: to(*e)}); return err }),
		func(s *store) error {
			return s.r.SaveSnapshot(ctx, replica.Snapshot{Partition: p, At: s.r.Log(p, log.KindChangelog).Last(),
				Input: 1, State: []byte(`{}`)})
		},
		func(s *store) error {
			b := acceptor.Target{VoterSet: s.v.VoterSet().Sequence, Incarnation: "i1", Key: "description"}
			*e++
			_, err := s.v.Promise(ctx, &acceptor.PromiseRequest{Target: b, Epoch: epoch.Epoch{Number: *e, Node: "c1"}})
			return err
		},
	}[r.IntN(9)]
}

// same tells whether what came back is just what was there, lines and seals.
func same(got, want picture) error {
	for id, w := range want.lines {
		g := got.lines[id]
		if len(g) != len(w) {
			return fmt.Errorf("%v: %d entries were there, %d came back", id, len(w), len(g))
		}
		for o, p := range w {
			if g[o] != p {
				return fmt.Errorf("%v: entry %d came back as %v, was %v", id, o, g[o], p)
			}
		}
	}
	for p, e := range want.seals {
		if got.seals[p] != e {
			return fmt.Errorf("partition %d: sealed at %d, came back at %d", p, e, got.seals[p])
		}
	}
	return nil
}

// The journal is written anew in slices, and between each two of them something happens to what is
// written. The power goes after every operation.
func TestPowerLostBetweenSlices(t *testing.T) {
	seeds, cases, slices, anews := 16, 0, 0, 0
	if raced {
		seeds = 2
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			l := New()
			g := &gated{Log: l, slice: func() {}}
			s, _, stop := boot(t, g)
			r, e := rand.New(rand.NewPCG(uint64(seed), 1)), uint64(1)
			pics := []picture{s.picture(t)}
			run := func(f func(*store) error) {
				assert.NilError(t, f(s), "seed %d", seed)
				pics = append(pics, s.picture(t))
				l.Answer()
			}
			for _, f := range tasks()[:2] {
				run(f)
			}
			for p := range partitions {
				for _, k := range log.Kinds {
					run(func(s *store) error {
						_, err := s.r.Append(t.Context(), &replica.AppendRequest{
							Target: replica.Target{Partition: p, Incarnation: "i", Epoch: 1}, Kind: k,
							Entries: entries(log.Position{}, 1, 100+r.IntN(200))})
						return err
					})
				}
			}
			gate, halt, over := make(chan struct{}), make(chan struct{}), make(chan struct{})
			g.slice = func() {
				select {
				case gate <- struct{}{}:
					synctest.Wait()
				default:
				}
			}
			before, idle := len(l.Moments()), make([]journal.Record, 10000)
			for i := range idle {
				idle[i].Kind = recordtype.Probe
			}
			go func() {
				defer close(over)
				for {
					select {
					case <-gate:
						run(mutations(r, &e))
					case <-halt:
						return
					}
				}
			}()
			time.Sleep(time.Second)
			assert.NilError(t, s.j.Put(t.Context(), false, nil, idle...))
			time.Sleep(time.Second)
			close(halt)
			<-over
			anews += int(s.j.Counters().Compactions)
			slices += g.count
			want := s.picture(t)
			stop()
			l.note("end")
			ms := l.Moments()
			for at, m := range ms[before:] {
				if (at+seed)%6 != 0 && m.Op != "end" {
					continue
				}
				n := m.Disk.Unsynced()
				for k := 0; k <= n; k += max(1, n/3) {
					for _, torn := range []bool{false, true} {
						d := m.Disk.Copy()
						d.LosePowerAfter(k, torn)
						got, rep, stop := boot(t, d)
						p := got.picture(t)
						stop()
						cases++
						assert.Assert(t, !rep.Damaged, "seed %d, moment %d (%s): %v", seed, at, m.Op, rep.Cause)
						assert.NilError(t, between(p, pics[m.Answered], pics[min(m.Answered+1, len(pics)-1)]),
							"seed %d, moment %d of %d (%s), %d of %d unsynced kept, torn %v", seed, at, len(ms)-before, m.Op, k, n, torn)
						if m.Op == "end" {
							assert.NilError(t, same(p, want), "seed %d", seed)
						}
					}
				}
			}
		})
	}
	assert.Assert(t, anews >= seeds, "void: written anew %d times", anews)
	assert.Assert(t, slices > anews*8, "void: %d slices", slices)
	t.Logf("%d times anew in %d slices, %d ways to lose power", anews, slices, cases)
}
