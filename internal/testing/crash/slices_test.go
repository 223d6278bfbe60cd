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

// gatedLog calls a function before each slice of a compaction and counts the slices.
type gatedLog struct {
	*Log
	slice func()
	count int
}

// Write calls slice before it writes the first record of a slice.
func (g *gatedLog) Write(first uint64, records [][]byte) error {
	for i, record := range records {
		if decoded, err := frame.Decode(first+uint64(i), record); err == nil && decoded.Kind == recordtype.CompactionBegins {
			g.count++
			g.slice()
			break
		}
	}
	return g.Log.Write(first, records)
}

// randomOperation returns one operation that may happen to logs between two slices: an append, a
// replaced tail, a trim before or after the position that the compaction has reached, a reset, a
// drop, a truncation, a snapshot, a seal or a promise.
func randomOperation(rng *rand.Rand, lastEpoch *uint64) func(d *diskParts) error {
	ctx := context.Background()
	partition, kind := rng.IntN(partitions), log.Kinds[rng.IntN(2)]
	target := func(epoch uint64) replica.Target {
		return replica.Target{Partition: partition, Incarnation: "i", Epoch: epoch}
	}
	randomPosition := func(l *log.Log) log.Position {
		first, last := l.Base().Offset, l.Last().Offset
		at, _ := l.Position(first + rng.Uint64N(last-first+1))
		return at
	}
	appendEntries := func(after func(l *log.Log) log.Position, count int, reset bool) func(*diskParts) error {
		return func(d *diskParts) error {
			position := after(d.replica.Log(partition, kind))
			answer, err := d.replica.Append(ctx, &replica.AppendRequest{Target: target(*lastEpoch), Kind: kind,
				After: position, Entries: entries(position, *lastEpoch, count), Reset: reset})
			if err == nil && !answer.Matched {
				err = fmt.Errorf("the logs did not match")
			}
			return err
		}
	}
	seal := func(operation func(*diskParts) error) func(*diskParts) error {
		return func(d *diskParts) error {
			*lastEpoch++
			if _, err := d.replica.Seal(ctx, &replica.SealRequest{Target: target(*lastEpoch)}); err != nil {
				return err
			}
			return operation(d)
		}
	}
	return []func(*diskParts) error{
		appendEntries((*log.Log).Last, 1+rng.IntN(90), false),
		appendEntries((*log.Log).Last, 1, false),
		seal(appendEntries(randomPosition, 1+rng.IntN(90), false)),
		seal(func(d *diskParts) error {
			return d.replica.TruncateAfter(ctx, target(*lastEpoch), kind,
				randomPosition(d.replica.Log(partition, kind)).Offset, false)
		}),
		func(d *diskParts) error {
			l := d.replica.Log(partition, kind)
			_, err := d.replica.Append(ctx, &replica.AppendRequest{Target: target(*lastEpoch), Kind: kind,
				After: l.Last(), Base: randomPosition(l)})
			return err
		},
		seal(appendEntries(func(*log.Log) log.Position {
			return log.Position{Offset: uint64(rng.IntN(200)), Epoch: *lastEpoch - 1, Chain: 7}
		}, 1+rng.IntN(90), true)),
		seal(func(d *diskParts) error {
			_, err := d.replica.Drop(ctx, &replica.DropRequest{Target: target(*lastEpoch)})
			return err
		}),
		func(d *diskParts) error {
			return d.replica.SaveSnapshot(ctx, replica.Snapshot{Partition: partition,
				At: d.replica.Log(partition, log.KindChangelog).Last(), Input: 1, State: []byte(`{}`)})
		},
		func(d *diskParts) error {
			slot := acceptor.Target{VoterSet: d.acceptor.VoterSet().Sequence, Incarnation: "i1", Key: "description"}
			*lastEpoch++
			_, err := d.acceptor.Promise(ctx, &acceptor.PromiseRequest{Target: slot,
				Epoch: epoch.Epoch{Number: *lastEpoch, Node: "c1"}})
			return err
		},
	}[rng.IntN(9)]
}

// checkEqual checks that the recovered logs and seals are exactly the wanted ones.
func checkEqual(got, want diskState) error {
	for id, wanted := range want.logs {
		recovered := got.logs[id]
		if len(recovered) != len(wanted) {
			return fmt.Errorf("%v: %d entries were stored, %d recovered", id, len(wanted), len(recovered))
		}
		for offset, position := range wanted {
			if recovered[offset] != position {
				return fmt.Errorf("%v: entry %d was recovered as %v, was %v", id, offset, recovered[offset], position)
			}
		}
	}
	for partition, epoch := range want.seals {
		if got.seals[partition] != epoch {
			return fmt.Errorf("partition %d: sealed at %d, recovered at %d", partition, epoch, got.seals[partition])
		}
	}
	return nil
}

// The journal is compacted in slices, and the stored data changes between slices. Power is lost
// after a sixth of the disk's operations and at the end.
func TestPowerLostBetweenSlices(t *testing.T) {
	seeds, cases, slices, compactions := 16, 0, 0, 0
	if raceEnabled {
		seeds = 2
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			disk := New()
			gated := &gatedLog{Log: disk, slice: func() {}}
			opened, _, stop := boot(t, gated)
			rng, lastEpoch := rand.New(rand.NewPCG(uint64(seed), 1)), uint64(1)
			states := []diskState{opened.diskState(t)}
			run := func(operation func(*diskParts) error) {
				assert.NilError(t, operation(opened), "seed %d", seed)
				states = append(states, opened.diskState(t))
				disk.Answer()
			}
			for _, operation := range operations()[:2] {
				run(operation)
			}
			for partition := range partitions {
				for _, kind := range log.Kinds {
					run(func(d *diskParts) error {
						_, err := d.replica.Append(t.Context(), &replica.AppendRequest{
							Target: replica.Target{Partition: partition, Incarnation: "i", Epoch: 1}, Kind: kind,
							Entries: entries(log.Position{}, 1, 100+rng.IntN(200))})
						return err
					})
				}
			}
			gate, halt, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
			gated.slice = func() {
				select {
				case gate <- struct{}{}:
					synctest.Wait()
				default:
				}
			}
			before, probes := len(disk.Moments()), make([]journal.Record, 10000)
			for i := range probes {
				probes[i].Kind = recordtype.Probe
			}
			go func() {
				defer close(done)
				for {
					select {
					case <-gate:
						run(randomOperation(rng, &lastEpoch))
					case <-halt:
						return
					}
				}
			}()
			time.Sleep(time.Second)
			assert.NilError(t, opened.journal.Put(t.Context(), false, nil, probes...))
			time.Sleep(time.Second)
			close(halt)
			<-done
			compactions += int(opened.journal.Counters().Compactions)
			slices += gated.count
			want := opened.diskState(t)
			stop()
			disk.record("end")
			moments := disk.Moments()
			for index, moment := range moments[before:] {
				if (index+seed)%6 != 0 && moment.Op != "end" {
					continue
				}
				unsynced := moment.Disk.Unsynced()
				for persisted := 0; persisted <= unsynced; persisted += max(1, unsynced/3) {
					for _, torn := range []bool{false, true} {
						copied := moment.Disk.Copy()
						copied.LosePowerAfter(persisted, torn)
						restarted, report, stop := boot(t, copied)
						recovered := restarted.diskState(t)
						stop()
						cases++
						assert.Assert(t, !report.Damaged, "seed %d, moment %d (%s): %v", seed, index, moment.Op,
							report.Cause)
						assert.NilError(t, checkBetween(recovered, states[moment.Answered],
							states[min(moment.Answered+1, len(states)-1)]),
							"seed %d, moment %d of %d (%s), %d of %d unsynced persisted, torn %v", seed, index,
							len(moments)-before, moment.Op, persisted, unsynced, torn)
						if moment.Op == "end" {
							assert.NilError(t, checkEqual(recovered, want), "seed %d", seed)
						}
					}
				}
			}
		})
	}
	assert.Assert(t, compactions >= seeds, "void: compacted %d times", compactions)
	assert.Assert(t, slices > compactions*8, "void: %d slices", slices)
	t.Logf("%d compactions in %d slices, %d ways to lose power", compactions, slices, cases)
}
