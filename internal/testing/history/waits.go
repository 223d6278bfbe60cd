package history

import (
	"sort"
	"time"
)

// Kinds of waits of clients and operators.
const (
	WaitAccept  = "accepting a message"
	WaitDeliver = "delivering a message"
	WaitAttach  = "attaching"
	WaitOpen    = "opening a stream"
	WaitPut     = "putting a configuration"
)

type pending struct {
	kind, place string
	since       time.Time
}

// Wait is one finished or open wait. Undisturbed is the longest part of it in which no new fault
// occurred.
type Wait struct {
	Kind, Place string
	From        time.Time
	Total       time.Duration
	Undisturbed time.Duration
	Open        bool
}

// Begin records the beginning of a wait of some kind on a topic, client or node. The returned
// function ends the wait. A wait that never ends counts with its age.
func (h *History) Begin(kind, place string, now time.Time) func(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastWaitID++
	id := h.lastWaitID
	h.openWaits[id] = pending{kind, place, now}
	return func(end time.Time) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if wait, ok := h.openWaits[id]; ok {
			delete(h.openWaits, id)
			h.addWait(wait, end, false)
		}
	}
}

// Retried records how long a call took that was answered with a retryable error, by the error's
// code.
func (h *History) Retried(kind string, elapsed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retried[kind] = append(h.retried[kind], elapsed)
}

func (h *History) addWait(wait pending, end time.Time, open bool) {
	h.waits = append(h.waits, Wait{Kind: wait.kind, Place: wait.place, From: wait.since, Total: end.Sub(wait.since),
		Open: open})
}

// AddFault records that a fault began or ended.
func (h *History) AddFault(what string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, now)
	h.faultCounts[what]++
}

// undisturbed returns the longest part of a span in which no new fault occurred.
func (h *History) undisturbed(from, end time.Time) time.Duration {
	longest := time.Duration(0)
	next := sort.Search(len(h.faults), func(i int) bool { return h.faults[i].After(from) })
	for ; next < len(h.faults) && h.faults[next].Before(end); next++ {
		longest = max(longest, h.faults[next].Sub(from))
		from = h.faults[next]
	}
	return max(longest, end.Sub(from))
}

func (h *History) judgeWaits(cut, now time.Time, report *Report) {
	sort.Slice(h.faults, func(i, k int) bool { return h.faults[i].Before(h.faults[k]) })
	for _, wait := range h.openWaits {
		h.addWait(wait, now, true)
	}
	report.Waits = map[string]Spans{}
	durations := map[string][]time.Duration{}
	for i := range h.waits {
		wait := &h.waits[i]
		wait.Undisturbed = h.undisturbed(wait.From, wait.From.Add(wait.Total))
		durations[wait.Kind] = append(durations[wait.Kind], wait.Total)
		if wait.Total > report.Longest.Total && wait.From.Before(cut) {
			report.Longest = *wait
		}
		if wait.Undisturbed > report.LongestUndisturbed.Undisturbed {
			report.LongestUndisturbed = *wait
		}
		if h.Bound > 0 && wait.Undisturbed > h.Bound {
			h.violate(Recovery, "%s at %s took %s from %s on, %s of it without a new fault (still open: %v)",
				wait.Kind, wait.Place, wait.Total, wait.From.Format("04:05.000"), wait.Undisturbed, wait.Open)
		}
	}
	report.Retried = map[string]Spans{}
	for code, elapsed := range h.retried {
		report.Retried[code] = quantiles(elapsed)
	}
	for kind, elapsed := range durations {
		report.Waits[kind] = quantiles(elapsed)
	}
}
