package history

import (
	"sort"
	"time"
)

// Kinds of waits that callers and operators have.
const (
	WaitAccept  = "taking a message"
	WaitDeliver = "delivering a message"
	WaitAttach  = "attaching"
	WaitOpen    = "opening a stream"
	WaitPut     = "putting a description"
)

type pending struct {
	kind, place string
	at          time.Time
}

// Wait is one finished or open wait, with the longest part of it in which nothing new went wrong.
type Wait struct {
	Kind, Place string
	From        time.Time
	Total       time.Duration
	Undisturbed time.Duration
	Open        bool
}

// Begin notes that somebody waits for something at a place; the function ends the wait.
// A wait that never ends counts by its age.
func (h *History) Begin(kind, place string, now time.Time) func(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.serial++
	id := h.serial
	h.open[id] = pending{kind, place, now}
	return func(end time.Time) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if p, ok := h.open[id]; ok {
			delete(h.open, id)
			h.waited(p, end, false)
		}
	}
}

// Acknowledged notes how long a call took that was told to come back, by the kind of problem.
func (h *History) Retried(kind string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acknowledged[kind] = append(h.acknowledged[kind], d)
}

func (h *History) waited(p pending, end time.Time, open bool) {
	h.waits = append(h.waits, Wait{Kind: p.kind, Place: p.place, From: p.at, Total: end.Sub(p.at), Open: open})
}

// Disturb notes that something went wrong, or was put right, at a moment.
func (h *History) AddFault(what string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = append(h.faults, now)
	h.covered[what]++
}

func (h *History) undisturbed(from, end time.Time) time.Duration {
	most := time.Duration(0)
	k := sort.Search(len(h.faults), func(i int) bool { return h.faults[i].After(from) })
	for ; k < len(h.faults) && h.faults[k].Before(end); k++ {
		most = max(most, h.faults[k].Sub(from))
		from = h.faults[k]
	}
	return max(most, end.Sub(from))
}

func (h *History) judgeWaits(cut, now time.Time, r *Report) {
	sort.Slice(h.faults, func(i, k int) bool { return h.faults[i].Before(h.faults[k]) })
	for _, p := range h.open {
		h.waited(p, now, true)
	}
	r.Waits = map[string]Spans{}
	by := map[string][]time.Duration{}
	for i := range h.waits {
		w := &h.waits[i]
		w.Undisturbed = h.undisturbed(w.From, w.From.Add(w.Total))
		by[w.Kind] = append(by[w.Kind], w.Total)
		if w.Total > r.Longest.Total && w.From.Before(cut) {
			r.Longest = *w
		}
		if w.Undisturbed > r.LongestUndisturbed.Undisturbed {
			r.LongestUndisturbed = *w
		}
		if h.Bound > 0 && w.Undisturbed > h.Bound {
			h.violate(Recovery, "%s at %s took %s from %s on, %s of it with nothing new going wrong (still open: %v)",
				w.Kind, w.Place, w.Total, w.From.Format("04:05.000"), w.Undisturbed, w.Open)
		}
	}
	r.Retried = map[string]Spans{}
	for k, ds := range h.acknowledged {
		r.Retried[k] = spans(ds)
	}
	for k, ds := range by {
		r.Waits[k] = spans(ds)
	}
}
