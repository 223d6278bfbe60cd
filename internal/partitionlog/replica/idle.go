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

// IdleChecksum returns the checksum of logs in the order of their kinds and partitions. It only
// says what to look at: no promise rests on it.
func IdleChecksum(logs []IdleLog) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, s := range logs {
		b = binary.AppendUvarint(append(b[:0], s.Kind...), uint64(s.Partition))
		for _, n := range []uint64{s.Epoch, s.Last.Epoch, s.Last.Offset, s.Last.Chain} {
			b = binary.LittleEndian.AppendUint64(b, n)
		}
		_, _ = h.Write(b)
	}
	return h.Sum64()
}

// CompareIdle reports whether logs end here as their leaders say, and nobody else has sealed their
// partitions since. It writes nothing and blocks on nothing.
func (r *Replica) CompareIdle(_ context.Context, request *CompareIdleRequest) (*CompareIdleResponse, error) {
	if request.Incarnation != r.incarnation {
		return nil, apierror.New(apierror.WrongDisk, "this disk is %s, not %s", r.incarnation, request.Incarnation)
	}
	var logs []IdleLog
	for _, kind := range slices.Sorted(maps.Keys(request.Partitions)) {
		for _, partition := range request.Partitions[kind] {
			logs = append(logs, r.idleLog(partition, kind))
		}
	}
	return &CompareIdleResponse{Identical: IdleChecksum(logs) == request.Checksum}, nil
}

func (r *Replica) idleLog(partition int, kind log.Kind) IdleLog {
	r.mu.Lock()
	idle := IdleLog{Partition: partition, Kind: kind, Epoch: r.seals[partition]}
	l := r.logs[log.ID{Partition: partition, Kind: kind}]
	r.mu.Unlock()
	if l != nil {
		idle.Last = l.Last()
	}
	return idle
}
