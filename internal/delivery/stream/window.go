package stream

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

const (
	maxWindowEntries = 64
	// fetchTimeouts is how many call time-outs a Fetch may take.
	fetchTimeouts = 2
)

// Window is a copy of a part of the log for one stream. Its messages may be withdrawn meanwhile,
// see BeginWrite.
type Window struct {
	Entries    []log.Entry
	generation uint64
}

// Cached returns cached entries after an offset, or false if they are no longer cached. It never
// waits.
func (f *Feed) Cached(offset uint64) (Window, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < f.base {
		return Window{}, false
	}
	if offset >= f.end {
		return Window{}, true
	}
	first := int(offset - f.base)
	last := min(len(f.entries), first+maxWindowEntries)
	return Window{slices.Clone(f.entries[first:last]), f.generation}, true
}

// Fetch returns entries after an offset, from the cache or from the leader. Its errors have the
// codes CursorExpired if the leader no longer retains them, NotReady while the feed is being reset,
// or those of the call.
func (f *Feed) Fetch(ctx context.Context, offset uint64) (Window, error) {
	if window, ok := f.Cached(offset); ok {
		return window, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeouts*f.feeds.timing.CallTimeout())
	defer cancel()
	f.mu.Lock()
	generation := f.generation
	f.mu.Unlock()
	response, err := f.call(ctx, &leader.ReadRequest{From: offset, IgnoreProgress: true})
	if err != nil {
		return Window{}, err
	}
	if response.MustReset {
		return Window{}, apierror.New(apierror.NotReady, "the reader of partition %d is being reset", f.partition)
	}
	if response.Base > offset {
		return Window{}, apierror.New(apierror.CursorExpired,
			"the log of partition %d begins at offset %d, the cursor is at %d", f.partition, response.Base+1, offset)
	}
	return Window{response.Entries, generation}, nil
}

// EntryStatus says whether an entry of a window may be delivered.
type EntryStatus int

// EntryDeliverable allows the delivery. EntryWithdrawn forbids it permanently. EntryStale requires
// that the window is read again, since the feed doesn't know whether the entry was withdrawn.
const (
	EntryDeliverable EntryStatus = iota
	EntryWithdrawn
	EntryStale
)

// write is an entry that a stream is writing to its client.
type write struct {
	entry log.Entry
	// abort is called under the feed's lock, so that its stream can't have left.
	abort func()
	done  chan struct{}
}

// BeginWrite is called right before an entry of a window is written to a client. If the entry is
// deliverable, the caller must call the returned function after the write. If the entry is
// withdrawn before that, abort is called from another goroutine. It must not block, and must make
// the write end soon.
func (f *Feed) BeginWrite(window Window, entry log.Entry, abort func()) (EntryStatus, func()) {
	if entry.Key == "" || entry.Type != log.TypeMessage {
		return EntryDeliverable, func() {}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case window.generation != f.generation:
		return EntryStale, func() {}
	case entry.Offset < f.tombstones[keyOf(entry)]:
		return EntryWithdrawn, func() {}
	}
	w := &write{entry, abort, make(chan struct{})}
	f.writes[w] = true
	return EntryDeliverable, func() {
		f.mu.Lock()
		delete(f.writes, w)
		f.mu.Unlock()
		close(w.done)
	}
}

func waitWrites(writes []*write) {
	for _, w := range writes {
		<-w.done
	}
}
