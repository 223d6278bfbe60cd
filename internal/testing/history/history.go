// Package history records what callers and operators saw and checks it against the never-list.
package history

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// Outcomes of a call.
const (
	Accepted = "taken"
	Refused  = "refused"
	Unknown  = "unknown"
)

// Message names one numbered message.
type Message struct {
	Topic string
	From  string
	Call  uint64
}

// Receipt is one line that a subscriber got.
type Receipt struct {
	Message
	Body      string
	Partition int
	Offset    uint64
	At        time.Time
}

type sent struct {
	body      string
	outcome   string
	partition int
	offset    uint64
	at        time.Time
	done      time.Time
	urgent    bool
}

type sub struct {
	since  map[string]time.Time
	live   map[string]bool
	got    []Receipt
	excuse bool
}

// Violation is one breach of the never-list.
type Violation struct {
	Rule    string
	Message string
}

// History is shared by all stand-in callers of a run.
type History struct {
	mu         sync.Mutex
	sent       map[Message]*sent
	refused    map[Message]map[string]bool
	subs       map[string]*sub
	seen       map[string]uint64
	accepted   map[uint64]time.Time
	bases      map[uint64]acceptedConfiguration
	violations []Violation
	spread     []time.Duration
	urgent     []time.Duration
	routine    []time.Duration

	// Bound is how long a wait may last after the last thing that went wrong; 0 for no bound.
	Bound        time.Duration
	serial       uint64
	open         map[uint64]pending
	waits        []Wait
	faults       []time.Time
	covered      map[string]int
	acknowledged map[string][]time.Duration
	verdicts     []Decision
	leaders      map[term]string
	promised     map[string]promise
	promises     int
	readBacks    []Reading
	passed       map[Message]bool
	tries        map[Message]tries
}

// New makes an empty history.
func New() *History {
	return &History{
		sent: map[Message]*sent{}, refused: map[Message]map[string]bool{}, subs: map[string]*sub{},
		seen: map[string]uint64{}, accepted: map[uint64]time.Time{}, bases: map[uint64]acceptedConfiguration{},
		open: map[uint64]pending{}, covered: map[string]int{}, acknowledged: map[string][]time.Duration{},
		leaders: map[term]string{}, promised: map[string]promise{},
		passed: map[Message]bool{}, tries: map[Message]tries{},
	}
}

// The lines of the never-list, in the order of the brief.
const (
	Twice    = "never-1 the same message twice"
	Order    = "never-2 out of order, or another line"
	Lost     = "never-3 a taken message lost"
	Missed   = "never-4 a returning client missed something"
	Fenced   = "never-5 a fenced owner decided"
	Disk     = "never-6 a disk trusted beyond the ledger"
	Foreign  = "never-7 refused, altered, wrong sender or topic, or not asked for"
	Spread   = "never-8 a description late or slipping back"
	Invalid  = "never-9 an invalid or raced description applied"
	Readback = "never-10 the latest description lost"
	Recovery = "never-11 service returned late"
	Behind   = "never-12 urgent behind routine"
)

// Lines lists all of them.
var Rules = []string{Twice, Order, Lost, Missed, Fenced, Disk, Foreign, Spread, Invalid, Readback, Recovery, Behind}

func (h *History) violate(l, f string, a ...any) {
	h.violations = append(h.violations, Violation{l, fmt.Sprintf(f, a...)})
}

// Violate notes a breach that a driver saw itself.
func (h *History) Violate(l, f string, a ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(l, f, a...)
}

// Send notes that a message is about to be sent; repeats of it are one message.
func (h *History) Send(m Message, body string, urgent bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.sent[m]; !ok {
		h.sent[m] = &sent{body: body, outcome: Unknown, at: now, urgent: urgent}
	}
}

// AcceptMessage notes that a message was told to be taken, and where.
func (h *History) AcceptMessage(m Message, p int, o uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.sent[m]
	if s.outcome == Accepted && (s.partition != p || s.offset != o) {
		h.violate(Order, "%v was first answered with %d/%d, then with %d/%d", m, s.partition, s.offset, p, o)
	}
	if s.outcome != Accepted {
		d := now.Sub(s.at)
		if s.urgent {
			h.urgent = append(h.urgent, d)
		} else {
			h.routine = append(h.routine, d)
		}
	}
	s.outcome, s.partition, s.offset, s.done = Accepted, p, o, now
}

// Refuse notes that a message with this body was told to be refused for good.
func (h *History) Refuse(m Message, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refused[m] == nil {
		h.refused[m] = map[string]bool{}
	}
	h.refused[m][body] = true
}

// Subscribe notes that a visitor follows topics from now on, those not followed before; live ones
// need not be complete.
func (h *History) Subscribe(client string, topics []string, live map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.subs[client]
	if !ok {
		s = &sub{since: map[string]time.Time{}, live: live}
		h.subs[client] = s
	}
	for _, t := range topics {
		if _, ok := s.since[t]; !ok {
			s.since[t] = now
		}
	}
}

// Excuse notes that a visitor was away for longer than the keeping time.
func (h *History) Excuse(client string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs[client].excuse = true
}

// Receive notes a line.
func (h *History) Receive(client string, r Receipt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subs[client].got = append(h.subs[client].got, r)
	if s := h.sent[r.Message]; s != nil {
		h.spread = append(h.spread, r.At.Sub(s.at))
	}
}

type acceptedConfiguration struct {
	seq uint64
	doc string
	at  time.Time
}

// AcceptConfiguration notes that an operator was told yes for a sequence, built on a base. The very
// same document may get it again.
func (h *History) AcceptConfiguration(base, seq uint64, doc string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	was, ok := h.bases[base]
	if ok && (was.seq != seq || was.doc != doc) {
		h.violate(Invalid, "two descriptions on base %d were accepted: %d at %s and %d at %s", base, was.seq, was.at,
			seq, now)
	}
	if _, twice := h.accepted[seq]; twice && !ok {
		h.violate(Invalid, "description %d was accepted on two bases, the second is %d, at %s", seq, base, now)
	}
	if !ok {
		h.bases[base], h.accepted[seq] = acceptedConfiguration{seq, doc, now}, now
	}
}

// Accepted gives the sequences that were accepted.
func (h *History) Accepted() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.accepted))
}

// Show notes which description a serving node showed at some moment after asked, in one run of the
// node.
func (h *History) ObserveConfiguration(node string, seq uint64, asked time.Time, bound time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if seq < h.seen[node] {
		h.violate(Spread, "%s showed description %d after %d", node, seq, h.seen[node])
	}
	h.seen[node] = max(seq, h.seen[node])
	for n, t := range h.accepted {
		if seq < n && asked.Sub(t) > bound {
			h.violate(Spread, "%s served description %d, %s after %d was accepted", node, seq, asked.Sub(t), n)
		}
	}
}

// Effect notes that a node did, on a call begun at asked, what a description accepted since
// forbids; seq is the newest one that allows it.
func (h *History) ObserveEffect(node string, seq uint64, asked time.Time, bound time.Duration, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n, t := range h.accepted {
		if seq < n && asked.Sub(t) > bound {
			h.violate(Spread, "%s %s %s after description %d was accepted", node, what, asked.Sub(t), n)
			return
		}
	}
}

// Apply notes the contents that a node shows for a sequence, and those that were accepted.
func (h *History) ObserveContents(node string, seq uint64, shows, accepted string) {
	if shows != accepted {
		h.Violate(Invalid, "%s shows for description %d %q, accepted was %q", node, seq, shows, accepted)
	}
}

// Overtaken notes how long an urgent call took beside routine work that was held still, and how
// long it may take.
func (h *History) UrgentCall(place, beside string, took, limit time.Duration) {
	if took > limit {
		h.Violate(Behind, "an urgent call on %s took %s beside %s, %s are allowed", place, took, beside, limit)
	}
}

// ReadBack judges a description that was read back: asked when the read began, and seq is what it
// gave.
func (h *History) ReadConfiguration(seq uint64, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for n, t := range h.accepted {
		if seq < n && t.Before(asked) {
			h.violate(Readback, "description %d was read back after %d was accepted", seq, n)
		}
	}
}

// Report is the result of a run. Longest is of the waits that began before the cut,
// LongestUndisturbed of all.
type Report struct {
	Sent, Accepted, Unknown, Refused int
	Receipts, Subscribers            int
	Configurations                     int
	Violations                       []Violation
	Spread, Urgent, Routine          Spans
	Waits, Retried              map[string]Spans
	Longest                          Wait
	LongestUndisturbed               Wait
	Decisions                        map[string]int
	Promises                         int
	Faults                          map[string]int
	// Judged tells which lines had something to be judged by in this run.
	Judged map[string]bool
}

// Spans are the quantiles of a set of durations.
type Spans struct {
	Count              int
	P50, P95, P99, Max time.Duration
}

func spans(d []time.Duration) Spans {
	if len(d) == 0 {
		return Spans{}
	}
	sort.Slice(d, func(i, k int) bool { return d[i] < d[k] })
	at := func(q float64) time.Duration { return d[int(q*float64(len(d)-1))] }
	return Spans{len(d), at(0.5), at(0.95), at(0.99), d[len(d)-1]}
}

// Check judges the whole history as of now; cut is the time up to which taken messages must have
// arrived.
func (h *History) Check(cut, now time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := Report{Sent: len(h.sent), Subscribers: len(h.subs), Configurations: len(h.accepted)}
	places := newPlaces(h)
	for m, s := range h.sent {
		switch s.outcome {
		case Accepted:
			r.Accepted++
			places.note(m, s.partition, s.offset, "told to the sender")
		case Unknown:
			r.Unknown++
		}
	}
	for _, x := range h.refused {
		r.Refused += len(x)
	}
	places.seen()
	h.judgePlaces(places)
	for v, s := range h.subs {
		h.checkSub(v, s, places)
		r.Receipts += len(s.got)
	}
	h.complete(cut)
	h.judgeRereads(cut)
	h.judgeVerdicts(&r)
	h.judgeDelivery()
	h.judgeWaits(cut, now, &r)
	r.Promises, r.Faults = h.promises, h.covered
	h.judged(&r)
	r.Spread, r.Urgent, r.Routine = spans(h.spread), spans(h.urgent), spans(h.routine)
	r.Violations = h.violations
	return r
}

func (h *History) checkSub(v string, s *sub, places *places) {
	seen := map[Message]bool{}
	last := map[string]uint64{}
	offset := map[string]uint64{}
	for _, g := range s.got {
		if _, ok := s.since[g.Topic]; !ok {
			h.violate(Foreign, "%s got %v, a topic it did not ask for", v, g.Message)
		}
		if seen[g.Message] {
			h.violate(Twice, "%s got %v twice", v, g.Message)
		}
		k := g.Topic + "\x1f" + g.From
		if g.Call <= last[k] && !seen[g.Message] {
			h.violate(Order, "%s got %v after call %d", v, g.Message, last[k])
		}
		seen[g.Message] = true
		if last[k] != 0 && !s.live[g.Topic] && !s.excuse {
			for _, c := range places.between(g.Topic, g.From, last[k], g.Call) {
				h.violate(Missed, "%s got %v after call %d, without call %d, which the ledger holds", v, g.Message, last[k], c)
			}
		}
		last[k] = max(last[k], g.Call)
		if g.Offset <= offset[g.Topic] {
			h.violate(Order, "%s got %v at offset %d after %d", v, g.Message, g.Offset, offset[g.Topic])
		}
		offset[g.Topic] = g.Offset
		w, ok := h.sent[g.Message]
		if !ok {
			h.violate(Foreign, "%s got %v, which nobody sent", v, g.Message)
			continue
		}
		if w.body != g.Body {
			h.violate(Foreign, "%s got %v with another body", v, g.Message)
		}
		if h.refused[g.Message][g.Body] && w.outcome != Accepted {
			h.violate(Foreign, "%s got %v, which was refused", v, g.Message)
		}
	}
}

func (h *History) complete(cut time.Time) {
	for v, s := range h.subs {
		if s.excuse {
			continue
		}
		have := map[Message]bool{}
		for _, g := range s.got {
			have[g.Message] = true
		}
		for m, x := range h.sent {
			since, ok := s.since[m.Topic]
			if !ok || s.live[m.Topic] || x.outcome != Accepted || !x.at.After(since) || x.done.After(cut) {
				continue
			}
			if !have[m] {
				h.violate(Lost, "%s never got %v, told taken at %d/%d on %s", v, m, x.partition, x.offset,
					x.done.Format("15:04:05.000"))
			}
		}
	}
}

func (h *History) judgeDelivery() {
	for v, s := range h.subs {
		for _, g := range s.got {
			x := h.sent[g.Message]
			if x == nil || x.outcome != Accepted || s.live[g.Topic] || !x.at.After(s.since[g.Topic]) || s.excuse {
				continue
			}
			from := x.done
			if g.At.Before(from) {
				from = g.At
			}
			h.waited(pending{WaitDeliver, fmt.Sprintf("partition %d to %s", g.Partition, v), from}, g.At, false)
		}
	}
}
