package leader

import (
	"context"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

const (
	maxReadEntries = 512
	maxReadBytes   = 1 << 20
)

// Read returns committed entries as the request asks. It returns NotReady unless the leader is open
// or closing, Unreachable when ctx ends, and NotPartitionLeader when the leadership is lost.
func (l *Leader) Read(ctx context.Context, request *ReadRequest) (*ReadResponse, error) {
	if request.Finished {
		return l.finishReader(ctx, request)
	}
	holdCtx, stop := context.WithTimeout(ctx, request.Hold)
	defer stop()
	for {
		l.mu.Lock()
		if err := l.checkReadable(); err != nil {
			l.mu.Unlock()
			return nil, err
		}
		committed := l.logs[log.KindInput].committed
		response, isEmpty := l.tryRead(request)
		l.mu.Unlock()
		if request.From == endOfLedger {
			return response, l.checkLeadership(ctx)
		}
		if !isEmpty {
			return response, nil
		}
		select {
		case <-committed:
		case <-l.lost:
			return nil, l.errLost()
		case <-holdCtx.Done():
			if ctx.Err() != nil {
				return nil, apierror.WithCause(
					apierror.Unreachable, ctx.Err(), "reading partition %d", l.Record.Partition,
				)
			}
			return response, nil
		}
	}
}

// tryRead returns the response of now, and whether it is worth waiting for entries. The lock is
// held.
func (l *Leader) tryRead(request *ReadRequest) (response *ReadResponse, isEmpty bool) {
	ledger := l.logs[log.KindInput]
	response = &ReadResponse{Base: ledger.log.Base().Offset, To: ledger.commit, Epoch: l.Record.Epoch}
	isReader, isTokenValid := false, true
	if request.TracksTombstones {
		isReader, response.MustReset = l.readerStatus(request.Node, request.BootID)
		response.ReaderToken, isTokenValid = l.readerTokenOf(request.Node, request.BootID, request.ReaderToken)
	}
	if request.From == endOfLedger || response.MustReset {
		return response, false
	}
	response.To = max(request.From, response.Base)
	if !isTokenValid {
		return response, false
	}
	if request.TracksTombstones {
		if !request.Beside {
			l.noteRead(request.Node, request.BootID, request.From)
		}
		l.replaceReader(request.Node, request.BootID)
	}
	l.readEntries(response, request, isReader)
	return response, len(response.Entries) == 0
}

// readEntries adds entries to a response. It stops before a message with a key if the node is no
// reader yet, and makes it one. The lock is held.
func (l *Leader) readEntries(response *ReadResponse, request *ReadRequest, isReader bool) {
	ledger := l.logs[log.KindInput]
	entries := ledger.log.Slice(request.From+1, ledger.commit, maxReadEntries, maxReadBytes)
	if len(entries) == 0 {
		entries = ledger.entriesAfter(request.From)
	}
	for _, entry := range entries {
		if entry.Offset > ledger.commit {
			return
		}
		if entry.Key != "" && entry.Type == log.TypeMessage && !entry.BodyDropped {
			if !request.TracksTombstones || l.state.IsWithdrawn(entry) {
				entry.Body, entry.Digest, entry.BodyDropped = nil, "", true
			} else if !isReader {
				l.addReader(request.Node, request.BootID)
				return
			}
		}
		response.Entries, response.To = append(response.Entries, entry), entry.Offset
	}
}

// finishReader removes a reader that has forgotten all, and answers once that is committed.
func (l *Leader) finishReader(ctx context.Context, request *ReadRequest) (*ReadResponse, error) {
	l.mu.Lock()
	if err := l.checkReadable(); err != nil {
		l.mu.Unlock()
		return nil, err
	}
	node, bootID := request.Node, request.BootID
	l.removeReader(node, bootID)
	reader := l.state.Readers[node]
	if reader.GivenUp && reader.BootID == bootID && l.uncommittedReaders[node].offset == 0 {
		l.writeReader(node, state.ReaderEntry{BootID: bootID, Removed: true})
	}
	offset := l.uncommittedReaders[node].offset
	ledger := l.logs[log.KindInput]
	response := &ReadResponse{Base: ledger.log.Base().Offset, To: ledger.commit, Epoch: l.Record.Epoch}
	l.mu.Unlock()
	if err := l.awaitCommit(ctx, log.KindInput, offset); err != nil {
		return nil, err
	}
	return response, l.checkLeadership(ctx)
}
