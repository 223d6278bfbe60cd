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
	store := w.Machines["a1"].Node().Store
	var records []assignment.Record
	for p := range store.VoterSet().Layout.PartitionCount() {
		records = append(records, w.withHistory(store.Record(p)))
	}
	return records
}

// withHistory returns a record from a node without a disk, with the history that nodes with a disk
// have of the same version.
func (w *World) withHistory(r assignment.Record) assignment.Record {
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

// A storage node that is back before its peers find its port closed twice retains its leaderships.
// One that is down for longer loses them to the successors that the record names, each partition
// once. Either way no epoch is used again, and partitions with another leader do not change.
func TestUsedEpochIsNeverUsedAgainAndSuccessorsTakeOverInOrder(t *testing.T) {
	t.Parallel()
	for downtime, retainsLeadership := range map[time.Duration]bool{30 * time.Millisecond: true, 600 * time.Millisecond: false} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			runScenario(t, Armor, 21, Armor.Timing.Recovery/2, func(t *testing.T, w *World) {
				leader := busiest(w)
				before := w.records()
				w.Kill(leader)
				time.Sleep(downtime)
				assert.NilError(t, w.Start(leader))
				time.Sleep(6 * time.Second)
				for p, r := range w.records() {
					if before[p].Leader != leader {
						assert.Equal(t, r.Leader, before[p].Leader, "partition %d moved", p)
						assert.Equal(t, r.Epoch, before[p].Epoch)
						continue
					}
					assert.Equal(t, r.Epoch, before[p].Epoch+1)
					successor, reason := leader, "came back"
					if !retainsLeadership {
						successor, reason = before[p].Successors(func(assignment.Replica) int { return 0 })[0].Node, "the owner is gone: "+failuredetector.Refused
					}
					assert.Equal(t, r.Leader, successor, "partition %d", p)
					last := r.History[len(r.History)-1]
					assert.Assert(t, strings.Contains(last.Reason, reason), last.Reason)
				}
			})
		})
	}
}

func attach(t *testing.T, w *World, node, name string) client.Attachment {
	t.Helper()
	a, err := w.Transport(node).Attach(w.ctx, name)
	assert.NilError(t, err)
	return a
}

func TestOldAttachmentCannotSendOnceANewerOneDid(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 22, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		old := attach(t, w, "a1", "v")
		now := attach(t, w, "c1", "v")
		_, err := w.Transport("c2").Send(w.ctx, old.Token, "kept/t0", 1, []byte(`1`))
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "%v", err)
		_, err = w.Transport("c2").Send(w.ctx, now.Token, "kept/t0", 1, []byte(`1`))
		assert.NilError(t, err)
		n := w.Machines["a1"].Node()
		p := partition.Of("kept/t0", false, n.VoterSet().Layout)
		_, err = n.Clients.Router.Submit(w.ctx, p, &leader.Message{Client: "v", Generation: old.Generation, Topic: "kept/t0", CallSeq: 2, Body: []byte(`2`)})
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "a send that was in flight: %v", err)
	})
}

// follow returns the calls received on topics within the limit, and the last cursor.
func follow(w *World, node, token, cursor string, topics []string, limit time.Duration) (calls []uint64, last string, end error) {
	ctx, stop := context.WithTimeout(w.ctx, limit)
	defer stop()
	last = cursor
	err := w.Transport(node).Follow(ctx, token, topics, cursor, func(event client.Event) error {
		last = event.Cursor
		if event.Topic != "" {
			calls = append(calls, event.CallSeq)
		}
		if event.End != nil {
			end = apierror.New(apierror.Code(event.End.Code), "%s", event.End.Message)
		}
		return nil
	})
	if end == nil {
		end = err
	}
	return calls, last, end
}

func TestReturningWithinTheRetentionMissesNothing(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 23, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		subscriber, sender := attach(t, w, "a1", "listener"), attach(t, w, "c1", "sender")
		topics := []string{"kept/t0"}
		_, cursor, _ := follow(w, "a1", subscriber.Token, "", topics, time.Second)
		firstCursor := cursor
		call := uint64(0)
		for range 34 {
			call++
			_, err := w.Transport("c2").Send(w.ctx, sender.Token, "kept/t0", call, []byte(fmt.Sprint(call)))
			assert.NilError(t, err)
			if call == 10 || call == 20 {
				o := w.records()[partition.Of("kept/t0", false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
				w.Kill(o)
				time.Sleep(5 * time.Second)
				assert.NilError(t, w.Start(o))
			}
			time.Sleep(700 * time.Millisecond)
		}
		calls, cursor, _ := follow(w, "c3", subscriber.Token, firstCursor, topics, 2*time.Second)
		assert.Equal(t, len(calls), 34, "%v", calls)
		again, _, _ := follow(w, "a1", subscriber.Token, cursor, topics, 2*time.Second)
		assert.Equal(t, len(again), 0, "%v twice", again)
		time.Sleep(w.Site.Timing.Retention() + 10*time.Second)
		for call < 40 {
			call++
			_, err := w.Transport("c2").Send(w.ctx, sender.Token, "kept/t0", call, []byte(fmt.Sprint(call)))
			assert.NilError(t, err)
		}
		time.Sleep(5 * time.Second)
		_, _, err := follow(w, "c3", subscriber.Token, firstCursor, topics, 2*time.Second)
		assert.Assert(t, apierror.HasCode(err, apierror.CursorExpired), "an expired cursor must be reported, not skipped: %v", err)
	})
}

// A partition leader that is cut off together with a follower continues to write to both logs. None
// of these writes may count.
func TestFencedLeaderAndFollowerDecideNothing(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, Traductores, 24, Traductores.Timing.Recovery, func(_ *testing.T, w *World) {
		for range 2 {
			target := busiest(w)
			for _, n := range w.Names {
				if n != target && n[0] != 'a' {
					w.Cut(n, target)
				}
			}
			w.Freeze(target)
			time.Sleep(time.Second)
			w.Thaw(target)
			time.Sleep(9 * time.Second)
			w.Heal()
			time.Sleep(5 * time.Second)
		}
	})
}
