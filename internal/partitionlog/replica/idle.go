package replica

import (
	"context"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// IdleChecksum is the sum of lines in the order of their kinds and partitions. It only tells what to look at: no promise rests on it.
func IdleChecksum(ss []IdleLog) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, s := range ss {
		b = binary.AppendUvarint(append(b[:0], s.Kind...), uint64(s.Partition))
		for _, n := range []uint64{s.Epoch, s.Last.Epoch, s.Last.Offset, s.Last.Chain} {
			b = binary.LittleEndian.AppendUint64(b, n)
		}
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// CompareIdle tells whether lines end here as their owners have told them, and nobody else has sealed their partitions since. It writes nothing and waits for nobody.
func (r *Replica) CompareIdle(_ context.Context, q *CompareIdleRequest) (*CompareIdleResponse, error) {
	if q.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, q.Incarnation)
	}
	var ss []IdleLog
	for _, k := range slices.Sorted(maps.Keys(q.Partitions)) {
		for _, p := range q.Partitions[k] {
			ss = append(ss, r.silent(p, k))
		}
	}
	return &CompareIdleResponse{Identical: IdleChecksum(ss) == q.Checksum}, nil
}

func (r *Replica) silent(p int, k log.Kind) IdleLog {
	r.mu.Lock()
	s, l := IdleLog{Partition: p, Kind: k, Epoch: r.seals[p]}, r.lines[log.ID{Partition: p, Kind: k}]
	r.mu.Unlock()
	if l != nil {
		s.Last = l.Last()
	}
	return s
}
