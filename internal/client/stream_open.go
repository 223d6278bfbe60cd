package client

import (
	"context"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/partition"
)

// assignPartitions finds the partitions of the topics.
func (st *subscriptionStream) assignPartitions(routineCount int) (urgent, routine []int) {
	layout := st.service.Store.VoterSet().Layout
	for i, topic := range st.request.Topics {
		isUrgent := st.request.spaces[i].Urgent
		number := partition.Of(topic, isUrgent, layout)
		st.topics[topic], st.urgentTopics[topic], st.partitions[topic] = true, isUrgent, number
		partitions := &routine
		if number >= routineCount {
			partitions = &urgent
		}
		if !slices.Contains(*partitions, number) {
			*partitions = append(*partitions, number)
		}
	}
	return urgent, routine
}

// loadCursor reads the cursor to resume from: the request's, or else the one that was saved.
func (st *subscriptionStream) loadCursor(partitions int) error {
	resumeCursor := st.request.Cursor
	if resumeCursor == "" {
		resumeCursor = st.request.savedCursor
	}
	if resumeCursor == "" {
		return nil
	}
	var err error
	st.resumeFrom, err = cursor.Decode(st.fleet, partitions, resumeCursor)
	return err
}

// openAll opens the urgent partitions within the call's time. Without urgent partitions, the
// routine ones have to be open by then. With urgent partitions, the routine ones may be opened
// later, so that an urgent stream never waits for a routine partition.
func (st *subscriptionStream) openAll(ctx, callCtx context.Context, urgent, routine []int) error {
	required, routineCtx := len(urgent), ctx
	for _, partition := range urgent {
		go func() { st.opened <- st.open(callCtx, partition, true) }()
	}
	if required == 0 {
		required, routineCtx = len(routine), callCtx
	}
	for _, partition := range routine {
		go st.openRoutine(ctx, routineCtx, partition, len(urgent) > 0)
	}
	grace := make(chan struct{})
	go func() {
		_ = st.service.Clock.Sleep(ctx, st.service.Timing.MaxBackoff())
		close(grace)
	}()
	for missing, remaining := required, len(urgent)+len(routine); remaining > 0; remaining-- {
		timeout := grace
		if missing > 0 {
			timeout = nil
		}
		select {
		case opened := <-st.opened:
			if opened.err != nil {
				return opened.err
			}
			st.addReader(opened)
			if opened.isUrgent || len(urgent) == 0 {
				missing--
			}
		case <-timeout:
			return nil
		}
	}
	return nil
}

// openRoutine opens a routine partition. If mayJoinLater is set, it retries until ctx ends.
func (st *subscriptionStream) openRoutine(ctx, openCtx context.Context, partition int, mayJoinLater bool) {
	for {
		opened := st.open(openCtx, partition, false)
		if opened.err == nil && ctx.Err() != nil {
			opened.leave()
		}
		isFinal := opened.err == nil || !mayJoinLater || ctx.Err() != nil
		if isFinal || apierror.HasCode(opened.err, apierror.CursorMalformed) {
			st.opened <- opened
			st.signal()
			return
		}
		_ = st.service.Clock.Sleep(ctx, st.service.Timing.MaxBackoff())
	}
}

// open opens one partition at the offset to resume from, or at its end.
func (st *subscriptionStream) open(ctx context.Context, partition int, urgent bool) openResult {
	opened := openResult{reader: reader{partition: partition, isUrgent: urgent, fetched: make(chan fetchResult, 1)}}
	opened.feed, opened.leave, opened.err = st.service.Feeds.Follow(ctx, partition, st.wake)
	if opened.err != nil {
		return opened
	}
	committedEnd := opened.feed.CommittedEnd()
	offset, ok := st.resumeFrom[partition]
	if !ok {
		offset = committedEnd
	}
	if offset > committedEnd {
		response, err := st.service.Router.Read(ctx, partition, ^uint64(0), 0)
		if err == nil && offset > response.To {
			err = apierror.New(
				apierror.CursorMalformed, "the cursor is at offset %d of partition %d, which ends at %d",
				offset, partition, response.To,
			)
		}
		if err != nil {
			opened.leave()
			opened.err = err
			return opened
		}
	}
	opened.offset, opened.liveFrom = offset, committedEnd
	return opened
}

func (st *subscriptionStream) addReader(opened openResult) {
	st.leaveFuncs = append(st.leaveFuncs, opened.leave)
	st.positions[opened.partition] = opened.offset
	st.readers = append(st.readers, opened.reader)
	slices.SortFunc(st.readers, func(first, second reader) int { return second.partition - first.partition })
}
