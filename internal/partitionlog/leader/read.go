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

// Read returns committed entries as requested. It returns NotReady unless the leader is open or
// closing, Unreachable if ctx ends, and NotPartitionLeader if the leadership is lost.
func (l *Leader) Read(ctx context.Context, request *ReadRequest) (*ReadResponse, error) {
	if request.Finished {
		return l.finishReader(ctx, request)
	}
	waitCtx, stop := context.WithTimeout(ctx, request.MaxWait)
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
		if request.From == endOfLog {
			return response, l.checkLeadership(ctx)
		}
		if !isEmpty {
			return response, nil
		}
		select {
		case <-committed:
		case <-l.lost:
			return nil, l.errLost()
		case <-waitCtx.Done():
			if ctx.Err() != nil {
				return nil, apierror.WithCause(
					apierror.Unreachable, ctx.Err(), "reading partition %d", l.Record.Partition,
				)
			}
			return response, nil
		}
	}
}

// tryRead returns the response as of now, and whether it is empty, so that the call should wait for
// entries. l.mu must be held.
func (l *Leader) tryRead(request *ReadRequest) (response *ReadResponse, isEmpty bool) {
	partitionLog := l.logs[log.KindInput]
	response = &ReadResponse{Base: partitionLog.log.Base().Offset, To: partitionLog.commit, Epoch: l.Record.Epoch}
	isReader, isTokenValid := false, true
	if request.TracksTombstones {
		isReader, response.MustReset = l.readerStatus(request.Node, request.BootID)
		response.ReaderToken, isTokenValid = l.readerTokenOf(request.Node, request.BootID, request.ReaderToken)
	}
	if request.From == endOfLog || response.MustReset {
		return response, false
	}
	response.To = max(request.From, response.Base)
	if !isTokenValid {
		return response, false
	}
	if request.TracksTombstones {
		if !request.IgnoreProgress {
			l.updateReaderProgress(request.Node, request.BootID, request.From)
		}
		l.replaceReader(request.Node, request.BootID)
	}
	l.readEntries(response, request, isReader)
	return response, len(response.Entries) == 0
}

// readEntries adds entries to a response. If the node is not a reader yet, it stops before a
// message with a key and makes the node a reader. l.mu must be held.
func (l *Leader) readEntries(response *ReadResponse, request *ReadRequest, isReader bool) {
	partitionLog := l.logs[log.KindInput]
	entries := partitionLog.log.Slice(request.From+1, partitionLog.commit, maxReadEntries, maxReadBytes)
	if len(entries) == 0 {
		entries = partitionLog.entriesAfter(request.From)
	}
	for _, entry := range entries {
		if entry.Offset > partitionLog.commit {
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

// finishReader removes a reader that has dropped everything, and answers once that is committed.
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
	partitionLog := l.logs[log.KindInput]
	response := &ReadResponse{Base: partitionLog.log.Base().Offset, To: partitionLog.commit, Epoch: l.Record.Epoch}
	l.mu.Unlock()
	if err := l.awaitCommit(ctx, log.KindInput, offset); err != nil {
		return nil, err
	}
	return response, l.checkLeadership(ctx)
}
