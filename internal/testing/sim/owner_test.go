package sim

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/client"
	"postjunction/internal/failuredetector"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/settings"
)

func (w *World) records() []assignment.Record {
	b := w.Machines["a1"].Node().Store
	var rs []assignment.Record
	for p := range b.VoterSet().Layout.PartitionCount() {
		rs = append(rs, w.storied(b.Record(p)))
	}
	return rs
}

// storied gives a record as a node without a disk has it the history that those with one know of
// the very same writing.
func (w *World) storied(r assignment.Record) assignment.Record {
	for _, m := range w.Machines {
		n := m.Node()
		if n == nil || m.Opts.Disk == settings.DiskNone {
			continue
		}
		if x := n.Store.Record(r.Partition); x.Version == r.Version {
			r.History = x.History
		}
	}
	return r
}

// A store that is back before its peers find its port closed twice keeps its partitions; one that
// stays away longer loses them to the successors that the record names, each partition once. Either
// way no epoch is used again, and what it did not own stays as it is.
func TestUsedEpochIsNeverUsedAgainAndSuccessorsTakeOverInOrder(t *testing.T) {
	t.Parallel()
	for away, kept := range map[time.Duration]bool{30 * time.Millisecond: true, 600 * time.Millisecond: false} {
		t.Run(away.String(), func(t *testing.T) {
			t.Parallel()
			play(t, Armor, 21, Armor.Timing.Recovery/2, func(t *testing.T, w *World) {
				o := busiest(w)
				before := w.records()
				w.Kill(o)
				time.Sleep(away)
				assert.NilError(t, w.Start(o))
				time.Sleep(6 * time.Second)
				for p, r := range w.records() {
					if before[p].Leader != o {
						assert.Equal(t, r.Leader, before[p].Leader, "partition %d moved", p)
						assert.Equal(t, r.Epoch, before[p].Epoch)
						continue
					}
					assert.Equal(t, r.Epoch, before[p].Epoch+1)
					successor, why := o, "came back"
					if !kept {
						successor, why = before[p].Successors(func(assignment.Replica) int { return 0 })[0].Node, "the owner is gone: "+failuredetector.Refused
					}
					assert.Equal(t, r.Leader, successor, "partition %d", p)
					last := r.History[len(r.History)-1]
					assert.Assert(t, strings.Contains(last.Reason, why), last.Reason)
				}
			})
		})
	}
}

func attach(t *testing.T, w *World, n, name string) client.Attachment {
	t.Helper()
	a, err := w.Port(n).Attach(w.ctx, name)
	assert.NilError(t, err)
	return a
}

func TestOldAttachmentCannotSendOnceANewerOneDid(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 22, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		old := attach(t, w, "a1", "v")
		now := attach(t, w, "c1", "v")
		_, err := w.Port("c2").Send(w.ctx, old.Token, "kept/t0", 1, []byte(`1`))
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "%v", err)
		_, err = w.Port("c2").Send(w.ctx, now.Token, "kept/t0", 1, []byte(`1`))
		assert.NilError(t, err)
		n := w.Machines["a1"].Node()
		p := partition.Of("kept/t0", false, n.VoterSet().Layout)
		_, err = n.Clients.Router.Submit(w.ctx, p, &leader.Message{Client: "v", Generation: old.Generation, Topic: "kept/t0", CallSeq: 2, Body: []byte(`2`)})
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "a send that was on its way: %v", err)
	})
}

// follow gives the calls received on topics within d, and the last cursor.
func follow(w *World, n, token, cursor string, topics []string, d time.Duration) (calls []uint64, last string, end error) {
	ctx, stop := context.WithTimeout(w.ctx, d)
	defer stop()
	last = cursor
	err := w.Port(n).Follow(ctx, token, topics, cursor, func(l client.Event) error {
		last = l.Cursor
		if l.Topic != "" {
			calls = append(calls, l.CallSeq)
		}
		if l.End != nil {
			end = apierror.New(apierror.Code(l.End.Code), "%s", l.End.Message)
		}
		return nil
	})
	if end == nil {
		end = err
	}
	return calls, last, end
}

func TestReturningWithinTheKeepingTimeMissesNothing(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 23, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		v, s := attach(t, w, "a1", "listener"), attach(t, w, "c1", "sender")
		topics := []string{"kept/t0"}
		_, cursor, _ := follow(w, "a1", v.Token, "", topics, time.Second)
		away := cursor
		n := uint64(0)
		for range 34 {
			n++
			_, err := w.Port("c2").Send(w.ctx, s.Token, "kept/t0", n, []byte(fmt.Sprint(n)))
			assert.NilError(t, err)
			if n == 10 || n == 20 {
				o := w.records()[partition.Of("kept/t0", false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
				w.Kill(o)
				time.Sleep(5 * time.Second)
				assert.NilError(t, w.Start(o))
			}
			time.Sleep(700 * time.Millisecond)
		}
		calls, cursor, _ := follow(w, "c3", v.Token, away, topics, 2*time.Second)
		assert.Equal(t, len(calls), 34, "%v", calls)
		again, _, _ := follow(w, "a1", v.Token, cursor, topics, 2*time.Second)
		assert.Equal(t, len(again), 0, "%v twice", again)
		time.Sleep(w.Site.Timing.Retention() + 10*time.Second)
		for n < 40 {
			n++
			_, err := w.Port("c2").Send(w.ctx, s.Token, "kept/t0", n, []byte(fmt.Sprint(n)))
			assert.NilError(t, err)
		}
		time.Sleep(5 * time.Second)
		_, _, err := follow(w, "c3", v.Token, away, topics, 2*time.Second)
		assert.Assert(t, apierror.HasCode(err, apierror.CursorExpired), "an expired cursor must be told, not skipped: %v", err)
	})
}

// An owner cut off with a store that follows it goes on writing to both lines; none of it may
// count.
func TestFencedLeaderAndFollowerDecideNothing(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	play(t, Traductores, 24, Traductores.Timing.Recovery, func(_ *testing.T, w *World) {
		for range 2 {
			o := busiest(w)
			for _, n := range w.Names {
				if n != o && n[0] != 'a' {
					w.Cut(n, o)
				}
			}
			w.Freeze(o)
			time.Sleep(time.Second)
			w.Thaw(o)
			time.Sleep(9 * time.Second)
			w.Heal()
			time.Sleep(5 * time.Second)
		}
	})
}
