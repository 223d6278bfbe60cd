package leader

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// A reader is a node, or a part of one, that was sent entries with keys and must drop them when
// they are withdrawn. The partition log records the readers and their boot IDs, so that every
// leader knows them. A tombstone is stored until all readers have read it.

// PendingReaders names the readers that have not read past a tombstone yet, and those that were
// given up because they were silent for too long.
type PendingReaders struct {
	Nodes   []string `json:"n,omitempty"`
	GivenUp []string `json:"g,omitempty"`
}

// ReaderView is a reader's status: the offset up to which it has read, as far as this leader knows,
// and whether it was given up.
type ReaderView struct {
	Node    string `json:"node"`
	Read    uint64 `json:"read"`
	GivenUp bool   `json:"given_up,omitempty"`
}

// TombstoneView is the number of tombstones, the number of offsets from the oldest to the commit,
// and the status of the readers.
type TombstoneView struct {
	Tombstones int          `json:"marks"`
	OldestLag  uint64       `json:"oldest_mark_age"`
	Readers    []ReaderView `json:"readers,omitempty"`
}

// uncommittedReader is the last entry about a reader that is not committed yet.
type uncommittedReader struct {
	bootID string
	offset uint64
}

// readerProgress is how far a reader is known to have read, when it last called, and when it was
// last seen as a member.
type readerProgress struct {
	bootID                string
	offset                uint64
	lastHeard, lastMember time.Time
}

// applyReader applies a committed entry about a reader. l.mu must be held.
func (l *Leader) applyReader(entry log.Entry) {
	node := entry.Client
	if l.uncommittedReaders[node].offset <= entry.Offset {
		delete(l.uncommittedReaders, node)
	}
	reader, ok := l.state.Readers[node]
	if !ok {
		delete(l.readerProgress, node)
	} else if progress, known := l.readerProgress[node]; !known || progress.bootID != reader.BootID {
		now := l.options.Clock.Now()
		l.readerProgress[node] = readerProgress{bootID: reader.BootID, lastHeard: now, lastMember: now}
	}
	if reader.GivenUp {
		l.counters.ReadersGivenUp++
	}
	if ok {
		l.options.Observer.ReaderChanged(l.Record.Partition, l.Record.Epoch, node, reader.BootID, reader.GivenUp)
	}
	l.wakeReaderWaiters()
}

// wakeReaderWaiters wakes the calls that wait for readers. l.mu must be held.
func (l *Leader) wakeReaderWaiters() {
	if l.readersChanged != nil {
		close(l.readersChanged)
		l.readersChanged = nil
	}
}

// writeReader appends an entry about a reader. l.mu must be held.
func (l *Leader) writeReader(node string, reader state.ReaderEntry) {
	entry := l.appendToPartitionLog(log.Entry{Type: log.TypeReader, Client: node, Body: state.EncodeBody(reader)})
	l.uncommittedReaders[node] = uncommittedReader{reader.BootID, entry.Offset}
}

// addReader makes a node a reader under a boot ID, unless an entry about that node is uncommitted.
// l.mu must be held.
func (l *Leader) addReader(node, bootID string) {
	if _, ok := l.uncommittedReaders[node]; !ok && l.stage == StageOpen {
		l.writeReader(node, state.ReaderEntry{BootID: bootID})
	}
}

// replaceReader replaces a node's reader under another boot ID by one under this boot ID. The node
// no longer has anything that the earlier run was sent. l.mu must be held.
func (l *Leader) replaceReader(node, bootID string) {
	if l.isOtherReader(node, bootID) {
		l.addReader(node, bootID)
	}
}

// isOtherReader reports whether a node is a reader under another boot ID.
func (l *Leader) isOtherReader(node, bootID string) bool {
	reader, ok := l.state.Readers[node]
	return ok && reader.BootID != bootID
}

// wasReplaced reports whether a boot ID is the one that a node's reader had before its present one.
// A call under it is late: the node has another boot ID since.
func (l *Leader) wasReplaced(node, bootID string) bool {
	reader, ok := l.state.Readers[node]
	return ok && reader.ReplacedBootID == bootID && bootID != ""
}

// removeReader writes that a node is no longer a reader, if it is one under this boot ID. The node
// can't become a reader again under this boot ID. l.mu must be held.
func (l *Leader) removeReader(node, bootID string) {
	if token := l.readerTokens[node]; token.bootID == bootID || token.bootID == "" {
		l.readerTokens[node] = readerToken{bootID: bootID, finished: true}
	}
	reader, ok := l.state.Readers[node]
	uncommitted, isUncommitted := l.uncommittedReaders[node]
	if isUncommitted && uncommitted.bootID == bootID || ok && reader.BootID == bootID {
		l.writeReader(node, state.ReaderEntry{BootID: bootID, Removed: true})
	}
}

// readerStatus reports whether it is committed that a node is a reader under a boot ID, and whether
// that reader was given up. l.mu must be held.
func (l *Leader) readerStatus(node, bootID string) (isReader, givenUp bool) {
	reader, ok := l.state.Readers[node]
	if !ok || reader.BootID != bootID {
		return false, false
	}
	_, isChanging := l.uncommittedReaders[node]
	return !isChanging && !reader.GivenUp, reader.GivenUp
}

// isReader reports whether a node is a reader under a boot ID, committed or not. l.mu must be held.
func (l *Leader) isReader(node, bootID string) bool {
	reader, ok := l.state.Readers[node]
	uncommitted, isUncommitted := l.uncommittedReaders[node]
	return ok && reader.BootID == bootID || isUncommitted && uncommitted.bootID == bootID
}

// updateReaderProgress records that a node called and has read up to an offset. l.mu must be held.
func (l *Leader) updateReaderProgress(node, bootID string, offset uint64) {
	reader, ok := l.state.Readers[node]
	if !ok || reader.BootID != bootID || reader.GivenUp {
		return
	}
	progress := l.readerProgress[node]
	if offset > progress.offset || progress.bootID != bootID {
		progress.bootID, progress.offset = bootID, offset
		l.wakeReaderWaiters()
	}
	progress.lastHeard = l.options.Clock.Now()
	l.readerProgress[node] = progress
}

// readOffset returns the offset up to which a reader is known to have read. l.mu must be held.
func (l *Leader) readOffset(node string, reader state.Reader) uint64 {
	if progress := l.readerProgress[node]; progress.bootID == reader.BootID {
		return progress.offset
	}
	return 0
}

// pendingReaders returns the readers that have not read up to an offset. l.mu must be held.
func (l *Leader) pendingReaders(offset uint64) *PendingReaders {
	pending := &PendingReaders{}
	for node, reader := range l.state.Readers {
		switch {
		case reader.GivenUp:
			pending.GivenUp = append(pending.GivenUp, node)
		case l.readOffset(node, reader) < offset:
			pending.Nodes = append(pending.Nodes, node)
		}
	}
	slices.Sort(pending.Nodes)
	slices.Sort(pending.GivenUp)
	return pending
}

// PendingReaders returns the readers that have not read past a tombstone at an offset, waiting up
// to maxWait until there is none. It returns none only after a majority has confirmed that no other
// leader could have added one. It returns NotReady if the offset was not committed in that time,
// Unreachable if ctx ends, and NotPartitionLeader if the leadership is lost.
func (l *Leader) PendingReaders(ctx context.Context, offset uint64, maxWait time.Duration) (*PendingReaders, error) {
	startedAt := l.options.Clock.Now()
	var timeout <-chan struct{}
	for {
		l.mu.Lock()
		if err := l.checkReadable(); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		partitionLog := l.logs[log.KindInput]
		pending, committed := l.pendingReaders(offset), partitionLog.committed
		if l.readersChanged == nil {
			l.readersChanged = make(chan struct{})
		}
		readersChanged, isCommitted := l.readersChanged, partitionLog.commit >= offset
		l.mu.Unlock()
		if isCommitted {
			committed = nil
		}
		if isCommitted && len(pending.Nodes) == 0 {
			if err := l.checkLeadership(ctx); err != nil {
				return nil, err
			}
			l.observeDecision("forgotten", startedAt)
			return pending, nil
		}
		if timeout == nil {
			timerCtx, stop := context.WithCancel(ctx)
			defer stop()
			timeout = l.after(timerCtx, maxWait)
		}
		select {
		case <-readersChanged:
		case <-committed:
		case <-timeout:
			if !isCommitted {
				return nil, apierror.New(apierror.NotReady, "offset %d of partition %d is not committed",
					offset, l.Record.Partition)
			}
			if ctx.Err() != nil {
				return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "waiting for readers of partition %d",
					l.Record.Partition)
			}
			return pending, nil
		case <-l.lost:
			return nil, l.errLost()
		}
	}
}

// readerTimeout is how long a reader must neither call nor be a member before it is given up.
func (l *Leader) readerTimeout() time.Duration {
	timing := l.options.Timing
	return timing.RetentionFor(l.options.LongestRetention()) + timing.LeaseDuration() + l.options.LeaseExtension
}

// giveUpReaders gives up the readers that delay the removal of tombstones and neither called nor
// were members for the reader timeout. It probes those that are members but silent. l.mu must be
// held.
func (l *Leader) giveUpReaders() {
	newest := uint64(0)
	for _, tombstone := range l.state.Tombstones {
		newest = max(newest, tombstone.Offset)
	}
	now := l.options.Clock.Now()
	for name, reader := range l.state.Readers {
		progress, known := l.readerProgress[name]
		if !known || progress.bootID != reader.BootID {
			progress = readerProgress{bootID: reader.BootID, lastHeard: now, lastMember: now}
		}
		node := readerNode(name)
		address, isMember := l.options.Addr(node)
		if isMember || node == l.options.Self {
			progress.lastMember = now
		}
		l.readerProgress[name] = progress
		if _, isChanging := l.uncommittedReaders[name]; isChanging || progress.offset >= newest || l.stage != StageOpen {
			continue
		}
		silentFor := now.Sub(progress.lastHeard)
		switch {
		case !reader.GivenUp && silentFor > l.readerTimeout() && now.Sub(progress.lastMember) > l.readerTimeout():
			l.writeReader(name, state.ReaderEntry{BootID: reader.BootID, GivenUp: true})
		case isMember && silentFor > l.options.Timing.SessionTimeout():
			go l.probeReader(l.ctx, name, address, reader.BootID)
		}
	}
}

// readerNode returns the node of a reader, which is the reader's name up to a slash. One node may
// have several readers, such as a1 and a1/streams.
func readerNode(reader string) string {
	node, _, _ := strings.Cut(reader, "/")
	return node
}

// probeReader asks the node of a silent reader for the boot ID of its present run. It removes a
// reader of an earlier run, because the node no longer has anything that the earlier run was sent.
// A reader's boot ID begins with that of its node's run.
func (l *Leader) probeReader(ctx context.Context, name, address, bootID string) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout())
	defer cancel()
	response, err := membership.Identify.Call(
		ctx, l.options.Net, l.options.Self, address, &membership.IdentifyRequest{},
	)
	if err != nil || response.Info.Name != readerNode(name) || response.Info.BootID == "" ||
		strings.HasPrefix(bootID, response.Info.BootID) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, isChanging := l.uncommittedReaders[name]
	if !isChanging && l.stage == StageOpen && l.state.Readers[name].BootID == bootID {
		l.removeReader(name, bootID)
	}
}

// Tombstones returns the status of tombstones and readers, nil if there are none.
func (l *Leader) Tombstones() *TombstoneView {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil || len(l.state.Tombstones)+len(l.state.Readers) == 0 {
		return nil
	}
	view := l.tombstoneView(l.logs[log.KindInput].commit)
	return &view
}

// tombstoneView returns the status of tombstones and readers. l.mu must be held.
func (l *Leader) tombstoneView(commit uint64) TombstoneView {
	view := TombstoneView{Tombstones: len(l.state.Tombstones)}
	oldest := commit
	for _, tombstone := range l.state.Tombstones {
		oldest = min(oldest, tombstone.Offset)
	}
	view.OldestLag = commit - oldest
	for node, reader := range l.state.Readers {
		read := l.readOffset(node, reader)
		view.Readers = append(view.Readers, ReaderView{Node: node, Read: read, GivenUp: reader.GivenUp})
	}
	slices.SortFunc(view.Readers, func(a, b ReaderView) int { return cmp.Compare(a.Node, b.Node) })
	return view
}
