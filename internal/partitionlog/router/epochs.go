package router

import (
	"context"
	"sync"

	"postjunction/internal/assignment"
	"postjunction/internal/gossip"
)

type leaderEpoch struct {
	epoch  uint64
	ctx    context.Context
	cancel context.CancelFunc
}

// leaderEpochs holds a context for each partition. The context is canceled once a higher epoch of
// the partition is known, so that calls to the leader of the old epoch end. mu guards byPartition.
type leaderEpochs struct {
	mu          sync.Mutex
	byPartition map[int]leaderEpoch
}

func (l *leaderEpochs) contextOf(store *gossip.Store, record assignment.Record) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byPartition == nil {
		l.byPartition = map[int]leaderEpoch{}
	}
	current, ok := l.byPartition[record.Partition]
	if ok && current.epoch >= record.Epoch {
		return current.ctx
	}
	if ok {
		current.cancel()
	}
	current.epoch = record.Epoch
	current.ctx, current.cancel = context.WithCancel(context.Background())
	l.byPartition[record.Partition] = current
	if store.Record(record.Partition).Epoch > record.Epoch {
		current.cancel()
	}
	return current.ctx
}

// ApplyRecords cancels the contexts of epochs that newer records supersede.
func (r *Router) ApplyRecords(records []assignment.Record) {
	r.epochs.mu.Lock()
	defer r.epochs.mu.Unlock()
	for _, record := range records {
		if current, ok := r.epochs.byPartition[record.Partition]; ok && record.Epoch > current.epoch {
			current.cancel()
			delete(r.epochs.byPartition, record.Partition)
		}
	}
}
