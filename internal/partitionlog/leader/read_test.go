package leader

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// feed is a reader of the whole partition.
type feed struct {
	*rig
	boot string
	mu   sync.Mutex
	turn uint64
}

func (f *feed) asks(q ReadRequest) chan *ReadResponse {
	f.mu.Lock()
	q.Node, q.BootID, q.ReaderToken, q.TracksTombstones, q.Hold = "a1/streams", f.boot, f.turn, true, f.d.Timing.LongPoll()
	f.mu.Unlock()
	c := make(chan *ReadResponse, 1)
	go func() {
		r, err := f.Leader.Read(f.t.Context(), &q)
		assert.Check(f.t, err == nil || f.t.Context().Err() != nil, "%v", err)
		if r != nil && r.ReaderToken > 0 {
			f.mu.Lock()
			f.turn = r.ReaderToken
			f.mu.Unlock()
		}
		c <- r
	}()
	synctest.Wait()
	return c
}

func shown(es []log.Entry) string {
	var s []string
	for _, e := range es {
		if e.Type == log.TypeMessage {
			s = append(s, fmt.Sprintf("%d%s%s", e.Offset, e.Body, map[bool]string{true: "-"}[e.BodyDropped]))
		} else {
			s = append(s, fmt.Sprintf("%d%s", e.Offset, e.Type))
		}
	}
	return strings.Join(s, " ")
}

// opens has the reader told its turn.
func (f *feed) opens() *feed {
	f.t.Helper()
	r := <-f.asks(ReadRequest{From: ^uint64(0)})
	assert.Equal(f.t, r.ReaderToken, f.turn)
	assert.Assert(f.t, f.turn > 0)
	return f
}

// begins makes the reader one that was given keys.
func (f *feed) begins(from uint64) *feed {
	f.t.Helper()
	f.opens()
	c := f.asks(ReadRequest{From: from})
	f.lands()
	assert.Assert(f.t, len((<-c).Entries) > 0)
	assert.Equal(f.t, f.st.Readers["a1/streams"].BootID, f.boot)
	return f
}

func (f *feed) left(at uint64) []string {
	f.t.Helper()
	u, err := f.forgotten(at)
	assert.NilError(f.t, err)
	return u.Nodes
}

var reads = map[string]func(t *testing.T, r *rig){
	"what is withdrawn is left out, and offsets go on without a gap": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"), says("v", 2, "t", "l"), says("v", 3, "t", ""))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		r.takes(withdraws("v", 4, "t", "k"))
		r.takes(says("v", 5, "t", "k"))
		assert.Equal(t, shown((<-f.asks(ReadRequest{From: 0})).Entries), "1- 2b 3b 4reader 5withdraw 6b")
	},
	"a node that does not mind withdrawals is given nothing with a key": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"), says("v", 2, "t", ""))
		a, err := r.Leader.Read(t.Context(), &ReadRequest{})
		assert.NilError(t, err)
		assert.Equal(t, shown(a.Entries), "1- 2b")
		assert.Equal(t, len(r.st.Readers), 0)
	},
	"it is on a majority that a node reads before it is given a key": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", ""), says("v", 2, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).opens()
		a := <-f.asks(ReadRequest{From: 0})
		assert.Equal(t, shown(a.Entries), "1b")
		assert.Equal(t, a.To, uint64(1))
		c := f.asks(ReadRequest{From: 1})
		assert.Equal(t, len(c), 0)
		r.lands()
		assert.Equal(t, shown((<-c).Entries), "2b 3reader")
		assert.Equal(t, r.tracks[log.KindLedger].last.Offset, uint64(3))
	},
	"the run of a feed says by its place what it forgot, what it reads beside does not": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		assert.DeepEqual(t, f.left(at), []string{"a1/streams"})
		f.asks(ReadRequest{From: at, Beside: true})
		f.asks(ReadRequest{From: ^uint64(0)})
		f.asks(ReadRequest{From: at - 1})
		assert.DeepEqual(t, f.left(at), []string{"a1/streams"})
		f.asks(ReadRequest{From: at})
		assert.Equal(t, len(f.left(at)), 0)
	},
	"a withdrawal comes at once": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		c, begun := f.asks(ReadRequest{From: 2}), time.Now()
		r.takes(withdraws("v", 2, "t", "k"))
		assert.Equal(t, shown((<-c).Entries), "3withdraw")
		assert.Equal(t, time.Since(begun), time.Duration(0))
	},
	"a question that comes late, from a run that is over, makes nobody a reader": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		old := (&feed{rig: r, boot: "b.1"}).begins(0)
		now := (&feed{rig: r, boot: "b.2"}).begins(0)
		stranger := &feed{rig: r, boot: "gone.1"}
		for _, f := range []*feed{old, stranger} {
			a := <-f.asks(ReadRequest{From: 0})
			assert.Equal(t, len(a.Entries), 0)
			r.lands()
			assert.Equal(t, r.st.Readers["a1/streams"].BootID, "b.2")
		}
		assert.Equal(t, len((<-now.asks(ReadRequest{From: 0})).Entries), 0, "the turn is another's meanwhile")
		assert.Equal(t, shown((<-now.asks(ReadRequest{From: 0})).Entries), "1b 2reader 3reader")
	},
	"a reader that let go of all is gone once that is on a majority, and its late questions bring it not back": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		c := f.asks(ReadRequest{From: ^uint64(0), Finished: true})
		assert.Equal(t, len(c), 0)
		r.lands()
		<-c
		assert.Equal(t, len(r.st.Readers), 0)
		for range 2 {
			assert.Equal(t, len((<-f.asks(ReadRequest{From: 0})).Entries), 0)
			r.lands()
			assert.Equal(t, len(r.st.Readers), 0)
			f.turn = 0
		}
		assert.Equal(t, len(f.left(r.takes(withdraws("v", 2, "t", "k")))), 0)
	},
	"one that was not noted as a reader is done as well": func(t *testing.T, r *rig) {
		f := &feed{rig: r, boot: "b.1"}
		<-f.asks(ReadRequest{From: ^uint64(0), Finished: true})
		assert.Equal(t, r.tracks[log.KindLedger].last.Offset, uint64(0))
	},
	"a run that is done does not end the one after it": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		old := (&feed{rig: r, boot: "b.1"}).begins(0)
		now := (&feed{rig: r, boot: "b.2"}).begins(0)
		<-old.asks(ReadRequest{From: ^uint64(0), Finished: true})
		r.lands()
		assert.Equal(t, r.st.Readers["a1/streams"].BootID, "b.2")
		assert.Assert(t, len((<-now.asks(ReadRequest{From: 0})).Entries) > 0)
	},
	"one that was given up is told so, and is one again under another boot or gone for good": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		delete(r.members, "a1")
		r.abandon()
		time.Sleep(r.patience() + time.Second)
		r.abandon()
		r.lands()
		u, err := r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.GivenUp, []string{"a1/streams"})
		for _, q := range []ReadRequest{{From: 0}, {From: at}, {From: ^uint64(0)}, {From: 0, Beside: true}} {
			a := <-f.asks(q)
			assert.Assert(t, a.MustReset)
			assert.Equal(t, len(a.Entries), 0)
		}
		r.takes(says("v", 3, "t", "k"))
		c := f.asks(ReadRequest{From: ^uint64(0), Finished: true})
		r.lands()
		<-c
		assert.Equal(t, len(r.st.Readers), 0)
		(&feed{rig: r, boot: "b.2"}).begins(at)
		u, err = r.forgotten(0)
		assert.NilError(t, err)
		assert.Equal(t, len(u.GivenUp), 0)
	},
	"a node that is a member is waited for, however its streams are silent, until it is in another run": func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		f := (&feed{rig: r, boot: "b.1"}).begins(0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		r.runs["at-a1"] = "b"
		for range 3 {
			time.Sleep(r.patience())
			r.abandon()
			synctest.Wait()
			r.lands()
		}
		assert.DeepEqual(t, f.left(at), []string{"a1/streams"})
		r.runs["at-a1"] = "c"
		r.abandon()
		synctest.Wait()
		r.lands()
		assert.Equal(t, len(f.left(at)), 0)
	},
}

func TestReadersOfAWholePartition(t *testing.T) {
	for name, f := range reads {
		t.Run(name, func(t *testing.T) { owning(t, 1, f) })
	}
}

// An owner whose entries come on no majority gives no key to one that it can't note.
func TestSupersededOwnerGivesStreamsNoKey(t *testing.T) {
	owning(t, 3, func(t *testing.T, r *rig) {
		r.submitsTo(says("v", 1, "t", "k"))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		q := &ReadRequest{Node: "a1/streams", BootID: "b.1", TracksTombstones: true, Hold: time.Second}
		for range 2 {
			a, err := r.Leader.Read(ctx, q)
			assert.NilError(t, err)
			assert.Equal(t, len(a.Entries), 0)
			q.ReaderToken = a.ReaderToken
		}
		assert.Equal(t, len(r.st.Readers), 0)
	})
}
