package leader

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
)

// Bounds of one append request.
const (
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
)

// logProgress is how far one log of the partition is written, replicated and committed. Leader.mu
// guards its fields; the log itself has its own lock.
type logProgress struct {
	kind log.Kind
	log  *log.Log
	// pending are the entries after durable, the last offset on the local disk. last is the
	// position of the last entry.
	pending []log.Entry
	last    log.Position
	durable uint64
	// match is the last offset that each other disk is known to have, by its incarnation. A
	// machine's new disk doesn't count while the record names its lost one.
	match  map[string]uint64
	commit uint64
	// committed and appended are closed and replaced when commit has moved, or entries were
	// appended.
	committed chan struct{}
	appended  chan struct{}
}

func newLogProgress(kind log.Kind, local *log.Log) *logProgress {
	last := local.Last()
	return &logProgress{
		kind:      kind,
		log:       local,
		last:      last,
		durable:   last.Offset,
		match:     map[string]uint64{},
		committed: make(chan struct{}),
		appended:  make(chan struct{}),
	}
}

// appendEntry appends an entry at the next offset and returns it as it will be written.
func (p *logProgress) appendEntry(entry log.Entry, epoch uint64) log.Entry {
	entry.Offset, entry.Epoch = p.last.Offset+1, epoch
	if entry.Digest == "" {
		entry.Digest = log.Digest(entry.Body)
	}
	entry.Chain = log.NextChain(p.last.Chain, entry)
	p.pending = append(p.pending, entry)
	p.last = entry.Position()
	close(p.appended)
	p.appended = make(chan struct{})
	return entry
}

// position returns the position of an entry that is pending or on the local disk.
func (p *logProgress) position(offset uint64) (log.Position, bool) {
	if i := int(offset) - int(p.durable) - 1; i >= 0 && i < len(p.pending) {
		return p.pending[i].Position(), true
	}
	return p.log.Position(offset)
}

// entriesAfter returns entries after an offset, those on the local disk first, up to the limits of
// one append request.
func (p *logProgress) entriesAfter(offset uint64) []log.Entry {
	entries := p.log.Slice(offset+1, p.durable, maxBatchEntries, maxBatchBytes)
	if offset+uint64(len(entries)) < p.durable || len(entries) == maxBatchEntries {
		return entries
	}
	skip := 0
	if offset > p.durable {
		skip = int(offset - p.durable)
	}
	if skip < len(p.pending) {
		pending := p.pending[skip:]
		entries = append(entries, pending[:min(len(pending), maxBatchEntries)]...)
	}
	return entries
}

// advanceCommit commits what a majority of the record's replicas has, if the last of these entries
// is of the record's epoch. It reports whether the commit moved.
func (p *logProgress) advanceCommit(record assignment.Record, self string) bool {
	var offsets []uint64
	for _, disk := range record.Replicas {
		if disk.Node == self {
			offsets = append(offsets, p.durable)
		} else {
			offsets = append(offsets, p.match[disk.Incarnation])
		}
	}
	slices.Sort(offsets)
	slices.Reverse(offsets)
	offset := offsets[record.Majority()-1]
	if position, ok := p.position(offset); offset <= p.commit || !ok || position.Epoch != record.Epoch {
		return false
	}
	p.commit = offset
	p.log.SetCommit(offset)
	close(p.committed)
	p.committed = make(chan struct{})
	return true
}

// writeLocally writes a log's pending entries to the local disk and trims the log there. It runs
// until ctx ends or the local replica rejects a request, which ends the leadership. While the disk
// is full it only trims.
func (l *Leader) writeLocally(ctx context.Context, progress *logProgress) {
	diskFull := false
	for ctx.Err() == nil {
		l.mu.Lock()
		after, _ := progress.position(progress.durable)
		entries := append([]log.Entry(nil), progress.pending[:min(len(progress.pending), maxBatchEntries)]...)
		appended := progress.appended
		base := l.trimTo[progress.kind]
		l.mu.Unlock()
		needsTrim := base.Offset > progress.log.Base().Offset
		if diskFull && needsTrim {
			entries = nil
		}
		if len(entries) == 0 && !needsTrim {
			select {
			case <-appended:
			case <-l.trimRequests[progress.kind]:
			case <-ctx.Done():
			}
			continue
		}
		err := l.appendLocally(ctx, &replica.AppendRequest{
			Target: l.localTarget(), Kind: progress.kind, After: after, Entries: entries, Base: base, Urgent: l.Urgent,
		})
		if isFenced(err) || apierror.HasCode(err, apierror.LogMismatch) {
			l.loseLeadership(err)
			return
		}
		if err != nil {
			l.options.Observer.DiskFailed(l.Record.Partition, err)
			diskFull = apierror.HasCode(err, apierror.DiskFull)
			_ = l.options.Clock.Sleep(ctx, l.options.Timing.MaxBackoff())
			continue
		}
		diskFull = false
		l.mu.Lock()
		progress.pending = progress.pending[len(entries):]
		progress.durable += uint64(len(entries))
		l.advanceCommit(progress)
		l.mu.Unlock()
	}
}

// appendLocally appends to the local replica. It returns LogMismatch if the local log doesn't end
// at the expected position.
func (l *Leader) appendLocally(ctx context.Context, request *replica.AppendRequest) error {
	response, err := l.options.Replica.Append(ctx, request)
	if err != nil {
		return err
	}
	if !response.Matched {
		return apierror.New(apierror.LogMismatch, "the local log ends at %d", response.Tail.Last.Offset)
	}
	return nil
}
