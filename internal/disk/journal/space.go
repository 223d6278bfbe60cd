package journal

import (
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
	"postjunction/internal/recordtype"
)

// space is how much of a bounded disk the journal uses. A compaction needs space for the live
// records beside the old ones, so it starts long before the disk is full. Above largePutPercent
// large puts are rejected, and above dataPercent all puts that add data. Small puts that trim or
// forget are still accepted then. Only Run's goroutine uses it.
type space struct {
	capacity, used, liveBytes int64
	retryInterval             time.Duration
	triedAt                   time.Time
	isFull                    bool
}

// Percentages of the capacity.
const (
	compactPercent   = 40 // compact above it, where that frees enough
	recoveredPercent = 60 // below it a full disk accepts large puts again
	largePutPercent  = 70 // above it large puts are rejected
	dataPercent      = 80 // above it all puts that add data are rejected
	anyPutPercent    = 95 // above it all puts are rejected
)

const (
	// The log is compacted when it uses more than compactGrowthNumerator / compactGrowthDenominator
	// times the bytes of its live records.
	compactGrowthNumerator   = 3
	compactGrowthDenominator = 2

	largePutBytes = 4096
	lengthBytes   = 3 // of a record in the log, before its frame
)

// SetCapacity bounds the bytes that the journal uses on its disk, 0 for no bound. It is called
// before Run. retryInterval is the shortest pause between two attempts to make space.
func (j *Journal) SetCapacity(bytes int64, retryInterval time.Duration) {
	j.space.capacity, j.space.retryInterval = bytes, retryInterval
}

// recordBytes returns the size of a record on disk, with its header and its length prefix.
func recordBytes(bodyBytes int) int64 { return int64(bodyBytes) + frame.Size + lengthBytes }

func totalBytes(records []Record) int64 {
	bytes := int64(0)
	for _, r := range records {
		bytes += recordBytes(len(r.Body))
	}
	return bytes
}

// exceeds reports whether that many bytes are more than a percentage of the capacity.
func (s *space) exceeds(bytes int64, percent int64) bool {
	return s.capacity > 0 && bytes > s.capacity*percent/100
}

// hasGrown reports whether it is time to compact for the sake of space.
func (s *space) hasGrown() bool {
	return s.exceeds(s.used, compactPercent) && s.used > s.liveBytes*compactGrowthNumerator/compactGrowthDenominator
}

// fits reports whether that many bytes of live records fit beside the present log.
func (s *space) fits(liveBytes int64) bool { return !s.exceeds(s.used+liveBytes, anyPutPercent) }

// dataTypes are the types of record that add data; all others may make space.
var dataTypes = map[uint16]bool{recordtype.Entry: true, recordtype.Snapshot: true}

func addsData(records []Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return dataTypes[r.Kind] })
}

// hasSpace reports whether records of that many bytes may be put on top of what is used.
func (j *Journal) hasSpace(records []Record, used, bytes int64) bool {
	switch after := used + bytes; {
	case bytes >= largePutBytes && (j.space.isFull || j.space.exceeds(after, largePutPercent)):
		return false
	case addsData(records) && j.space.exceeds(after, dataPercent):
		return false
	default:
		return bytes == 0 || !j.space.exceeds(after, anyPutPercent)
	}
}

// admit rejects the puts that don't fit and returns the others. If it rejected any, it tries to
// make space.
func (j *Journal) admit(puts []put) []put {
	if j.space.capacity == 0 {
		return puts
	}
	used := j.space.used
	var admitted, rejected []put
	for _, p := range puts {
		bytes := totalBytes(p.records)
		if !j.hasSpace(p.records, used, bytes) {
			rejected = append(rejected, p)
			continue
		}
		used += bytes
		admitted = append(admitted, p)
	}
	if len(rejected) == 0 {
		return puts
	}
	err := apierror.New(
		apierror.DiskFull, "the journal takes %d of the %d bytes that the settings give it",
		j.space.used, j.space.capacity,
	)
	j.space.isFull = true
	j.mu.Lock()
	j.failure = err
	j.counters.Failures++
	j.mu.Unlock()
	for _, p := range rejected {
		p.finish(err)
	}
	j.makeSpace()
	return admitted
}

// makeSpace compacts the log in one go, at most once in each retry interval.
func (j *Journal) makeSpace() {
	now := j.clock.Now()
	if now.Sub(j.space.triedAt) < j.space.retryInterval {
		return
	}
	j.space.triedAt = now
	if err := j.repair(); err != nil {
		return // the failure is recorded already; the next attempt repairs again
	}
	if j.compaction == nil {
		j.countLive()
		j.beginCompaction(nil)
	}
	for j.compaction != nil {
		j.compactStep()
	}
}
