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
// selects the logs to look at. No guarantee depends on it.
func IdleChecksum(logs []IdleLog) uint64 {
	hash := fnv.New64a()
	var buffer []byte
	for _, idleLog := range logs {
		buffer = binary.AppendUvarint(append(buffer[:0], idleLog.Kind...), uint64(idleLog.Partition))
		for _, number := range []uint64{idleLog.Epoch, idleLog.Last.Epoch, idleLog.Last.Offset, idleLog.Last.Chain} {
			buffer = binary.LittleEndian.AppendUint64(buffer, number)
		}
		_, _ = hash.Write(buffer)
	}
	return hash.Sum64()
}

// CompareIdle reports whether logs end here where their leaders expect, with no other leader having
// sealed their partitions since. It writes nothing and does not block.
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
	partitionLog := r.logs[log.ID{Partition: partition, Kind: kind}]
	r.mu.Unlock()
	if partitionLog != nil {
		idle.Last = partitionLog.Last()
	}
	return idle
}
