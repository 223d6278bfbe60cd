package journal

import (
	"postjunction/internal/recordtype"
)

const (
	minCompactRecords = 4096 // a log with fewer is not compacted for its number of records
	compactGrowth     = 4    // compact once there are that many records for each live one
	maxSkipped        = 16   // urgent writes in a row without a slice
)

// Slice returns some of a part's live records as they are now, and whether more are to come. A
// slice that is restored after all earlier records of the log changes nothing. All slices of a
// compaction, together with the records written since it began, restore the part completely.
type Slice func() (records []Record, more bool)

// EncodeAll makes one slice of all records.
func EncodeAll(dump func() []Record) []Slice {
	return []Slice{func() ([]Record, bool) { return dump(), false }}
}

// compaction is a compaction in progress. Its slices are written one at a time, along with puts.
// All records before the index from are truncated once all slices are written.
type compaction struct {
	from       uint64
	usedBefore int64
	slices     []Slice
	waiters    []chan error
}

// shouldCompact reports whether a compaction is worth its writes. Live records are counted again
// only if it is worth them by the last count.
func (j *Journal) shouldCompact() bool {
	if !j.hasGrown() {
		return false
	}
	j.countLive()
	return j.hasGrown()
}

func (j *Journal) countLive() {
	records, bytes := 0, int64(0)
	for _, part := range j.parts {
		partRecords, partBytes := part.LiveSize()
		records, bytes = records+partRecords, bytes+partBytes
	}
	j.liveRecords, j.space.liveBytes = uint64(records), bytes+int64(records)*recordBytes(0)
}

// hasGrown reports whether the log has grown enough since the last compaction, by the last count of
// live records.
func (j *Journal) hasGrown() bool {
	return j.nextIndex-j.compactedTo > max(minCompactRecords, compactGrowth*j.liveRecords) || j.space.hasGrown()
}

// beginCompaction starts a compaction unless the disk has no space for it, and reports whether it
// did. done, unless nil, gets its result.
func (j *Journal) beginCompaction(done chan error) bool {
	if !j.space.fits(j.space.liveBytes) {
		j.compactedTo, j.space.liveBytes = j.nextIndex-1, j.space.used
		return false
	}
	next := &compaction{from: j.nextIndex, usedBefore: j.space.used}
	if done != nil {
		next.waiters = append(next.waiters, done)
	}
	for _, part := range j.parts {
		next.slices = append(next.slices, part.Slices()...)
	}
	j.compaction, j.skipped = next, 0
	return true
}

// nextSlice returns the next slice of the compaction, between the two records that mark its begin
// and its end. It returns nil when none is left.
func (j *Journal) nextSlice() []Record {
	for current := j.compaction; current != nil && len(current.slices) > 0; {
		records, more := current.slices[0]()
		if !more {
			current.slices = current.slices[1:]
		}
		if len(records) > 0 {
			return append(
				append([]Record{{Kind: recordtype.CompactionBegins}}, records...),
				Record{Kind: recordtype.CompactionEnds},
			)
		}
	}
	return nil
}

// sliceWithPuts returns a slice to be written along with puts, so that it costs no sync of its own.
// Urgent puts are written alone, but only maxSkipped times in a row.
func (j *Journal) sliceWithPuts(urgent bool) []Record {
	if j.skipped++; urgent && j.skipped < maxSkipped {
		return nil
	}
	j.skipped = 0
	return j.nextSlice()
}

// idleStep does one step of the work for times without puts, and reports whether there may be more.
func (j *Journal) idleStep() bool {
	if j.compaction != nil {
		j.compactStep()
		return true
	}
	return j.scrubStep()
}

// compactStep writes one slice.
func (j *Journal) compactStep() {
	if err := j.repair(); err != nil {
		j.endCompaction(err)
		return
	}
	if records := j.nextSlice(); len(records) > 0 {
		if err := j.commit(records); err != nil {
			return
		}
	}
	j.finishCompaction()
}

// finishCompaction truncates the front of the log once every slice is written.
func (j *Journal) finishCompaction() {
	current := j.compaction
	if current == nil || len(current.slices) > 0 {
		return
	}
	if err := j.log.CutFront(current.from); err != nil {
		j.fail(err)
		return
	}
	j.compactedTo = current.from - 1
	j.mu.Lock()
	j.space.used -= current.usedBefore
	j.space.liveBytes = min(j.space.liveBytes, j.space.used)
	if j.space.isFull && !j.space.exceeds(j.space.used, recoveredPercent) {
		j.space.isFull, j.failure = false, nil
	}
	j.counters.Compactions++
	j.mu.Unlock()
	j.endCompaction(nil)
}

// endCompaction ends the compaction, if there is one, with a result.
func (j *Journal) endCompaction(err error) {
	current := j.compaction
	if j.compaction = nil; current == nil {
		return
	}
	for _, waiter := range current.waiters {
		waiter <- err
	}
}
