package router

import (
	"context"
	"sync"

	"postjunction/internal/gossip"
	"postjunction/internal/placement/assignment"
)

type reign struct {
	epoch uint64
	ctx   context.Context
	end   context.CancelFunc
}

// reigns holds, for each partition, a context that ends once a higher epoch is known: what waits for the old owner need not wait on.
type reigns struct {
	mu sync.Mutex
	m  map[int]reign
}

func (s *reigns) of(b *gossip.Store, r assignment.Record) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = map[int]reign{}
	}
	x, ok := s.m[r.Partition]
	if ok && x.epoch >= r.Epoch {
		return x.ctx
	}
	if ok {
		x.end()
	}
	x.epoch = r.Epoch
	x.ctx, x.end = context.WithCancel(context.Background())
	s.m[r.Partition] = x
	if b.Record(r.Partition).Epoch > r.Epoch {
		x.end()
	}
	return x.ctx
}

// ApplyRecords ends the reigns that newer records put an end to.
func (d *Router) ApplyRecords(rs []assignment.Record) {
	d.reigns.mu.Lock()
	defer d.reigns.mu.Unlock()
	for _, r := range rs {
		if x, ok := d.reigns.m[r.Partition]; ok && r.Epoch > x.epoch {
			x.end()
			delete(d.reigns.m, r.Partition)
		}
	}
}
