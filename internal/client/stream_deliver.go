package client

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/partitionlog/log"
)

// maxRoutineEntries limits the routine entries of a round, so that urgent entries are not delayed.
const maxRoutineEntries = 16

// deliverRound delivers the entries that are in memory, urgent partitions first, and reports
// whether there may be more. It never waits: entries that a feed no longer caches are fetched by
// another goroutine.
func (st *subscriptionStream) deliverRound(ctx context.Context) (bool, error) {
	if err := st.checkAttachment(ctx); err != nil {
		return false, err
	}
	if err := st.dropRemovedTopics(); err != nil {
		return false, err
	}
	for i := range st.readers {
		reader := &st.readers[i]
		entries, err := st.nextEntries(ctx, reader)
		if err != nil {
			return false, err
		}
		if !reader.isUrgent {
			entries = entries[:min(len(entries), maxRoutineEntries)]
		}
		for _, entry := range entries {
			if stale, err := st.deliver(*reader, entry); err != nil {
				return false, err
			} else if stale {
				reader.window = stream.Window{}
				return true, nil
			}
		}
		reader.window.Entries = reader.window.Entries[len(entries):]
		if len(entries) > 0 {
			return true, nil
		}
	}
	return false, nil
}

// nextEntries returns the entries of a partition that are in memory. If they have to be fetched, it
// starts that and returns nothing.
func (st *subscriptionStream) nextEntries(ctx context.Context, reader *reader) ([]log.Entry, error) {
	if len(reader.window.Entries) > 0 {
		return reader.window.Entries, nil
	}
	if reader.isFetching {
		select {
		case result := <-reader.fetched:
			reader.isFetching, reader.window = false, result.window
			if apierror.HasCode(result.err, apierror.CursorExpired) {
				return nil, result.err
			}
			return reader.window.Entries, nil
		default:
			return nil, nil
		}
	}
	offset := st.positions[reader.partition]
	if window, ok := reader.feed.Cached(offset); ok {
		reader.window = window
		return window.Entries, nil
	}
	reader.isFetching = true
	feed, fetched := reader.feed, reader.fetched
	go func() {
		window, err := feed.Fetch(ctx, offset)
		if err != nil && !apierror.HasCode(err, apierror.CursorExpired) {
			_ = st.service.Clock.Sleep(ctx, st.service.Timing.MaxBackoff())
		}
		fetched <- fetchResult{window, err}
		st.signal()
	}()
	return nil, nil
}

// deliver writes an entry of a reader's window, if the stream has its topic. It returns true if the
// window is stale and must be filled again.
func (st *subscriptionStream) deliver(reader reader, entry log.Entry) (stale bool, err error) {
	if entry.Offset <= st.positions[reader.partition] {
		return false, nil
	}
	status, endWrite := stream.EntryDeliverable, func() {}
	if st.topics[entry.Topic] {
		status, endWrite = reader.feed.BeginWrite(reader.window, entry, st.abort)
	}
	if status == stream.EntryStale {
		return true, nil
	}
	defer endWrite()
	st.positions[reader.partition] = entry.Offset
	if entry.Type == log.TypeWithdrawal && st.topics[entry.Topic] {
		return false, st.emit(
			Event{Topic: entry.Topic, Withdrawn: entry.Key, Partition: &reader.partition, Offset: entry.Offset},
		)
	}
	if entry.Type != log.TypeMessage || !st.topics[entry.Topic] || status == stream.EntryWithdrawn ||
		entry.Key != "" && entry.BodyDropped ||
		entry.Live && (entry.BodyDropped || entry.Offset <= reader.liveFrom) {
		return false, nil
	}
	return false, st.emit(Event{
		Topic:     entry.Topic,
		From:      entry.Client,
		Key:       entry.Key,
		CallSeq:   entry.CallSeq,
		Body:      entry.Body,
		Partition: &reader.partition,
		Offset:    entry.Offset,
	})
}

// abort ends the write in flight.
func (st *subscriptionStream) abort() {
	if st.request.Abort != nil {
		st.request.Abort()
	}
}

// dropRemovedTopics drops topics that the current configuration no longer has, or has with another
// urgency, and ends a stream without topics.
func (st *subscriptionStream) dropRemovedTopics() error {
	index := st.service.Store.Index()
	if index.Sequence == st.configuration {
		return nil
	}
	st.configuration = index.Sequence
	var removed []string
	var reason error
	for topic := range st.topics {
		space, err := index.Find(topic)
		if err == nil && space.Urgent != st.urgentTopics[topic] {
			err = apierror.New(
				apierror.UnknownTopic, "%s is in a space of another urgency since configuration %d", topic,
				index.Sequence,
			)
		}
		if err != nil {
			removed, reason = append(removed, topic), err
		}
	}
	if len(removed) == 0 {
		return nil
	}
	for _, topic := range removed {
		delete(st.topics, topic)
	}
	if len(st.topics) == 0 {
		return reason
	}
	slices.Sort(removed)
	return st.emit(Event{Unsubscribed: removed})
}
