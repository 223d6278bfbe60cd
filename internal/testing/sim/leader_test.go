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

// withHistory returns the record of a node without a disk with the history filled in that a node
// with a disk has of the same version.
func (w *World) withHistory(record assignment.Record) assignment.Record {
	for _, machine := range w.Machines {
		running := machine.Node()
		if running == nil || machine.Opts.Disk == settings.DiskNone {
			continue
		}
		if stored := running.Store.Record(record.Partition); stored.Version == record.Version {
			record.History = stored.History
		}
	}
	return record
}

// A storage node that restarts before its peers have found its port closed twice retains its
// leaderships. One that is down for longer loses each of them once, to the successor that the
// record names. Either way no epoch is used again, and partitions with another leader do not
// change.
func TestUsedEpochIsNeverUsedAgainAndSuccessorsTakeOverInOrder(t *testing.T) {
	t.Parallel()
	for downtime, retainsLeadership := range map[time.Duration]bool{30 * time.Millisecond: true, 600 * time.Millisecond: false} {
		t.Run(downtime.String(), func(t *testing.T) {
			t.Parallel()
			runScenario(t, Armor, 21, Armor.Timing.Recovery/2, func(t *testing.T, w *World) {
				leaderNode := busiest(w)
				before := w.records()
				w.Kill(leaderNode)
				time.Sleep(downtime)
				assert.NilError(t, w.Start(leaderNode))
				time.Sleep(6 * time.Second)
				for partitionID, record := range w.records() {
					if before[partitionID].Leader != leaderNode {
						assert.Equal(t, record.Leader, before[partitionID].Leader, "partition %d moved", partitionID)
						assert.Equal(t, record.Epoch, before[partitionID].Epoch)
						continue
					}
					assert.Equal(t, record.Epoch, before[partitionID].Epoch+1)
					successor, reason := leaderNode, "came back"
					if !retainsLeadership {
						successor, reason = before[partitionID].Successors(func(assignment.Replica) int { return 0 })[0].Node, "the owner is gone: "+failuredetector.Refused
					}
					assert.Equal(t, record.Leader, successor, "partition %d", partitionID)
					last := record.History[len(record.History)-1]
					assert.Assert(t, strings.Contains(last.Reason, reason), last.Reason)
				}
			})
		})
	}
}

func attach(t *testing.T, w *World, node, name string) client.Attachment {
	t.Helper()
	attachment, err := w.Transport(node).Attach(w.ctx, name)
	assert.NilError(t, err)
	return attachment
}

func TestOldAttachmentCannotSendOnceANewerOneDid(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 22, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		olderAttachment := attach(t, w, "a1", "v")
		newerAttachment := attach(t, w, "c1", "v")
		_, err := w.Transport("c2").Send(w.ctx, olderAttachment.Token, "kept/t0", 1, []byte(`1`))
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "%v", err)
		_, err = w.Transport("c2").Send(w.ctx, newerAttachment.Token, "kept/t0", 1, []byte(`1`))
		assert.NilError(t, err)
		running := w.Machines["a1"].Node()
		partitionID := partition.Of("kept/t0", false, running.VoterSet().Layout)
		_, err = running.Clients.Router.Submit(w.ctx, partitionID, &leader.Message{Client: "v", Generation: olderAttachment.Generation, Topic: "kept/t0", CallSeq: 2, Body: []byte(`2`)})
		assert.Assert(t, apierror.HasCode(err, apierror.TokenFenced), "a send that was in flight: %v", err)
	})
}

// follow reads a stream of topics until it ends or the limit has passed. It returns the calls
// received, the last cursor and the error that ended the stream.
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
				leaderNode := w.records()[partition.Of("kept/t0", false, w.Machines["a1"].Node().VoterSet().Layout)].Leader
				w.Kill(leaderNode)
				time.Sleep(5 * time.Second)
				assert.NilError(t, w.Start(leaderNode))
			}
			time.Sleep(700 * time.Millisecond)
		}
		calls, cursor, _ := follow(w, "c3", subscriber.Token, firstCursor, topics, 2*time.Second)
		assert.Equal(t, len(calls), 34, "%v", calls)
		repeated, _, _ := follow(w, "a1", subscriber.Token, cursor, topics, 2*time.Second)
		assert.Equal(t, len(repeated), 0, "%v twice", repeated)
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

// A partition leader receives nothing from nodes with a disk and is frozen meanwhile. It continues
// to write to its own log and to those of its followers. None of these writes may count.
func TestFencedLeaderAndFollowerDecideNothing(t *testing.T) {
	t.Parallel()
	skipUnderRace(t)
	runScenario(t, Traductores, 24, Traductores.Timing.Recovery, func(_ *testing.T, w *World) {
		for range 2 {
			target := busiest(w)
			for _, node := range w.Names {
				if node != target && node[0] != 'a' {
					w.Cut(node, target)
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
