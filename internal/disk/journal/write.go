package journal

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
)

// framesChecked is how many of the last frames repair reads back.
const framesChecked = 1

// takePuts returns the puts of the next write, urgent ones alone, up to groupBytes, and reports
// whether they are urgent.
func (j *Journal) takePuts() ([]put, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	var puts []put
	size, urgent := 0, false
	for queue := range j.queues {
		if len(puts) > 0 {
			break
		}
		for len(j.queues[queue]) > 0 && size < groupBytes {
			p := j.queues[queue][0]
			j.queues[queue] = j.queues[queue][1:]
			for _, r := range p.records {
				size += len(r.Body) + frame.Size
			}
			puts = append(puts, p)
			urgent = queue == 0
		}
	}
	return puts, urgent
}

// writeRound writes one group of puts, or does one step of idle work when there are none, and
// reports whether there may be more.
func (j *Journal) writeRound(ctx context.Context) bool {
	puts, urgent := j.takePuts()
	if len(puts) == 0 {
		return j.idleStep() && ctx.Err() == nil
	}
	if puts = j.admit(puts); len(puts) == 0 {
		return ctx.Err() == nil
	}
	err := j.repair()
	if err == nil {
		records := j.sliceWithPuts(urgent)
		for _, p := range puts {
			records = append(records, p.records...)
		}
		err = j.commit(records)
	}
	for _, p := range puts {
		if err == nil && p.apply != nil {
			p.apply()
		}
		p.finish(err)
	}
	if err == nil {
		j.finishCompaction()
	}
	if err == nil && j.compaction == nil && j.shouldCompact() {
		j.beginCompaction(nil)
	}
	return ctx.Err() == nil
}

// commit writes and syncs records. After an error none of them counts as written.
func (j *Journal) commit(records []Record) error {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		encoded[i] = frame.Encode(frame.Frame{
			Kind:        r.Kind,
			Index:       j.nextIndex + uint64(i),
			SyncedIndex: j.synced,
			Epoch:       r.Epoch,
			Offset:      r.Offset,
			Body:        r.Body,
		})
	}
	if len(encoded) > 0 {
		if err := j.log.Write(j.nextIndex, encoded); err != nil {
			j.fail(err)
			return err
		}
	}
	if err := j.log.Sync(); err != nil {
		j.fail(err)
		return err
	}
	j.nextIndex += uint64(len(encoded))
	j.synced = j.nextIndex - 1
	for _, b := range encoded {
		j.space.used += recordBytes(len(b) - frame.Size)
	}
	j.mu.Lock()
	if !j.space.isFull {
		j.failure = nil
	}
	j.counters.Records += uint64(len(encoded))
	j.counters.Batches++
	j.mu.Unlock()
	return nil
}

// fail records a failed write: nothing after the last synced record can be trusted until the log
// was repaired.
func (j *Journal) fail(err error) {
	j.mu.Lock()
	j.needsRepair, j.failure = true, err
	j.counters.Failures++
	j.mu.Unlock()
	j.endCompaction(err)
}

// repair reopens the log after a failed write and truncates what was not synced. It does nothing
// when no write failed.
func (j *Journal) repair() error {
	j.mu.Lock()
	needsRepair := j.needsRepair
	j.mu.Unlock()
	if !needsRepair {
		return nil
	}
	if err := j.log.Reopen(); err != nil {
		return err
	}
	_, last, err := j.log.Bounds()
	if err != nil {
		return err
	}
	if last < j.synced {
		return apierror.New(apierror.DiskDamaged, "the log ends at %d though synced up to %d", last, j.synced)
	}
	if last > j.synced {
		if err := j.log.CutBack(j.synced); err != nil {
			return err
		}
	}
	for i := j.synced; i > 0 && i+framesChecked > j.synced; i-- {
		b, err := j.log.Read(i)
		if err != nil {
			return err
		}
		if _, err := frame.Decode(i, b); err != nil {
			return err
		}
	}
	j.nextIndex = j.synced + 1
	j.mu.Lock()
	j.needsRepair = false
	j.mu.Unlock()
	return nil
}
