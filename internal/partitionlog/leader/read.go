package leader

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// ReadRequest asks for committed entries after an offset, waiting for news up to Hold. From ^0 asks only where the committed ledger ends.
// Marks says that the node minds withdrawals as the reader Node under Boot, which has forgotten all that is withdrawn up to From, unless
// it reads Beside. Done says that the reader under this boot holds nothing any more and reads no further. Turn is what an earlier answer gave: nobody
// becomes a reader without it, as a task may come late from a run that is over.
type ReadRequest struct {
	Partition        int           `json:"p"`
	From             uint64        `json:"f"`
	Hold             time.Duration `json:"h"`
	Node             string        `json:"n,omitempty"`
	BootID           string        `json:"b,omitempty"`
	TracksTombstones bool          `json:"m,omitempty"`
	Beside           bool          `json:"s,omitempty"`
	Finished         bool          `json:"d,omitempty"`
	ReaderToken      uint64        `json:"u,omitempty"`
}

// ReadResponse is a part of the committed ledger: entries after From, up to To. What was withdrawn is left out of its entry, and so is what stands under
// a key where the task has no Marks. Clean is that of Told.
type ReadResponse struct {
	Base        uint64      `json:"base"`
	To          uint64      `json:"to"`
	Epoch       uint64      `json:"epoch"`
	MustReset   bool        `json:"c,omitempty"`
	ReaderToken uint64      `json:"u,omitempty"`
	Entries     []log.Entry `json:"n,omitempty"`
}

const (
	readMost  = 512
	readBytes = 1 << 20
)

// turn is the number that a reader's run has to tell, of the run that asked last. Over says that this run reads no further.
type turn struct {
	boot string
	n    uint64
	over bool
}

// turnsOf keeps numbers of one epoch apart from those of others, as a task may come late from a run that another owner gave a number.
const turnsOf = 1 << 20

// turned gives the number that a run has to tell and whether it did: then it was there after all other runs of the node that were heard here.
func (o *Leader) turned(node, boot string, told uint64) (uint64, bool) {
	t := o.turns[node]
	if t.boot != boot {
		o.turn = max(o.turn, o.Record.Epoch*turnsOf) + 1
		t = turn{boot: boot, n: o.turn}
		o.turns[node] = t
	}
	return t.n, t.n == told && !t.over
}

// Read answers a ReadRequest.
func (o *Leader) Read(ctx context.Context, q *ReadRequest) (*ReadResponse, error) {
	if q.Finished {
		return o.readOver(ctx, q)
	}
	cx, stop := context.WithTimeout(ctx, q.Hold)
	defer stop()
	for {
		o.mu.Lock()
		if err := o.following(); err != nil {
			o.mu.Unlock()
			return nil, err
		}
		moved := o.tracks[log.KindLedger].moved
		r, wait := o.reading(q)
		o.mu.Unlock()
		if q.From == ^uint64(0) {
			return r, o.assure(ctx)
		}
		if !wait {
			return r, nil
		}
		select {
		case <-moved:
		case <-o.lost:
			return nil, apierror.New(apierror.NotPartitionLeader, "partition %d was lost", o.Record.Partition)
		case <-cx.Done():
			if ctx.Err() != nil {
				return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "reading partition %d", o.Record.Partition)
			}
			return r, nil
		}
	}
}

// reading gives the answer of now, and whether news are worth waiting for.
func (o *Leader) reading(q *ReadRequest) (*ReadResponse, bool) {
	t := o.tracks[log.KindLedger]
	r := &ReadResponse{Base: t.line.Base().Offset, To: t.commit, Epoch: o.Record.Epoch}
	reads, turned := false, true
	if q.TracksTombstones {
		reads, r.MustReset = o.reads(q.Node, q.BootID)
		r.ReaderToken, turned = o.turned(q.Node, q.BootID, q.ReaderToken)
	}
	if q.From == ^uint64(0) || r.MustReset {
		return r, false
	}
	r.To = max(q.From, r.Base)
	if !turned {
		return r, false
	}
	if q.TracksTombstones {
		if !q.Beside {
			o.hear(q.Node, q.BootID, q.From)
		}
		o.meet(q.Node, q.BootID)
	}
	es := t.line.Slice(q.From+1, t.commit, readMost, readBytes)
	if len(es) == 0 {
		es = t.after(q.From)
	}
	for _, e := range es {
		if e.Offset > t.commit {
			break
		}
		if e.Key != "" && e.Type == log.TypeMessage && !e.BodyDropped {
			if !q.TracksTombstones || o.st.Covers(e) {
				e.Body, e.Digest, e.BodyDropped = nil, "", true
			} else if !reads {
				o.enlist(q.Node, q.BootID)
				break
			}
		}
		r.Entries, r.To = append(r.Entries, e), e.Offset
	}
	return r, len(r.Entries) == 0
}

// readOver has a reader that holds nothing any more be gone, once that is on a majority.
func (o *Leader) readOver(ctx context.Context, q *ReadRequest) (*ReadResponse, error) {
	o.mu.Lock()
	if err := o.following(); err != nil {
		o.mu.Unlock()
		return nil, err
	}
	o.dismiss(q.Node, q.BootID)
	if r := o.st.Readers[q.Node]; r.GivenUp && r.BootID == q.BootID && o.entered[q.Node].at == 0 {
		o.enter(q.Node, state.ReaderEntry{BootID: q.BootID, Gone: true})
	}
	at := o.entered[q.Node].at
	r := &ReadResponse{Base: o.tracks[log.KindLedger].line.Base().Offset, To: o.tracks[log.KindLedger].commit, Epoch: o.Record.Epoch}
	o.mu.Unlock()
	if err := o.await(ctx, log.KindLedger, at); err != nil {
		return nil, err
	}
	return r, o.assure(ctx)
}
