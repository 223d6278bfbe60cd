// Package history records what clients and operators sent and received, and checks it against the
// rules of docs/never.md.
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

// Receipt is one message that a subscriber received.
type Receipt struct {
	Message
	Body      string
	Partition int
	Offset    uint64
	At        time.Time
}

// sent is what is known of a message that a client tried to send.
type sent struct {
	body       string
	outcome    string
	partition  int
	offset     uint64
	sentAt     time.Time
	acceptedAt time.Time
	urgent     bool
}

// subscriber is one client's subscriptions and receipts. since maps the followed topics to the time
// of their confirmation.
type subscriber struct {
	since    map[string]time.Time
	live     map[string]bool
	receipts []Receipt
	excused  bool
}

// Violation is a case in which a rule was broken.
type Violation struct {
	Rule    string
	Message string
}

// History records what all clients and operators of a run sent and received.
type History struct {
	// mu guards all fields but Bound.
	mu                   sync.Mutex
	sent                 map[Message]*sent
	refused              map[Message]map[string]bool
	subscribers          map[string]*subscriber
	shownSequence        map[string]uint64
	configurations       map[uint64]time.Time
	configurationsByBase map[uint64]acceptedConfiguration
	violations           []Violation
	deliveryTimes        []time.Duration
	urgentTimes          []time.Duration
	routineTimes         []time.Duration

	// Bound is how long a wait may last after the last fault. 0 means no bound.
	Bound       time.Duration
	lastWaitID  uint64
	openWaits   map[uint64]pending
	waits       []Wait
	faults      []time.Time
	faultCounts map[string]int
	retried     map[string][]time.Duration
	decisions   []Decision
	leaders     map[term]string
	promised    map[string]promise
	promises    int
	readings    []Reading
	passedOver  map[Message]bool
	tries       map[Message]tries
}

// New returns an empty history.
func New() *History {
	return &History{
		sent: map[Message]*sent{}, refused: map[Message]map[string]bool{}, subscribers: map[string]*subscriber{},
		shownSequence: map[string]uint64{}, configurations: map[uint64]time.Time{},
		configurationsByBase: map[uint64]acceptedConfiguration{}, openWaits: map[uint64]pending{},
		faultCounts: map[string]int{}, retried: map[string][]time.Duration{}, leaders: map[term]string{},
		promised: map[string]promise{}, passedOver: map[Message]bool{}, tries: map[Message]tries{},
	}
}

// The rules of docs/never.md, in their order.
const (
	Twice    = "never-1 the same message twice"
	Order    = "never-2 out of order, or in different orders"
	Lost     = "never-3 an accepted message lost"
	Missed   = "never-4 a returning client missed something"
	Fenced   = "never-5 a fenced leader decided"
	Disk     = "never-6 a disk trusted beyond the partition log"
	Foreign  = "never-7 refused, altered, wrong sender or topic, or not asked for"
	Spread   = "never-8 a configuration late or going back"
	Invalid  = "never-9 an invalid or conflicting configuration applied"
	Readback = "never-10 the latest configuration lost"
	Recovery = "never-11 service returned late"
	Behind   = "never-12 urgent behind routine"
)

// Rules lists all rules.
var Rules = []string{Twice, Order, Lost, Missed, Fenced, Disk, Foreign, Spread, Invalid, Readback, Recovery, Behind}

func (h *History) violate(rule, format string, args ...any) {
	h.violations = append(h.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// Violate records a violation that a test detected itself.
func (h *History) Violate(rule, format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violate(rule, format, args...)
}

// Send records that a message is about to be sent. Retries are the same message.
func (h *History) Send(message Message, body string, urgent bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.sent[message]; !ok {
		h.sent[message] = &sent{body: body, outcome: Unknown, sentAt: now, urgent: urgent}
	}
}

// AcceptMessage records that a message was acknowledged, with its partition and offset.
func (h *History) AcceptMessage(message Message, partition int, offset uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.sent[message]
	if state.outcome == Accepted && (state.partition != partition || state.offset != offset) {
		h.violate(Order, "%v was first answered with %d/%d, then with %d/%d", message, state.partition, state.offset,
			partition, offset)
	}
	if state.outcome != Accepted {
		elapsed := now.Sub(state.sentAt)
		if state.urgent {
			h.urgentTimes = append(h.urgentTimes, elapsed)
		} else {
			h.routineTimes = append(h.routineTimes, elapsed)
		}
	}
	state.outcome, state.partition, state.offset, state.acceptedAt = Accepted, partition, offset, now
}

// Refuse records that a message with this body was rejected for good.
func (h *History) Refuse(message Message, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refused[message] == nil {
		h.refused[message] = map[string]bool{}
	}
	h.refused[message][body] = true
}

// Subscribe records that a client follows topics from now on. Topics followed before keep their
// time. Live topics need not be complete.
func (h *History) Subscribe(client string, topics []string, live map[string]bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	subscription, ok := h.subscribers[client]
	if !ok {
		subscription = &subscriber{since: map[string]time.Time{}, live: live}
		h.subscribers[client] = subscription
	}
	for _, topic := range topics {
		if _, ok := subscription.since[topic]; !ok {
			subscription.since[topic] = now
		}
	}
}

// Excuse records that a client was disconnected for longer than the retention time.
func (h *History) Excuse(client string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[client].excused = true
}

// Receive records that a client received a message.
func (h *History) Receive(client string, receipt Receipt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers[client].receipts = append(h.subscribers[client].receipts, receipt)
	if state := h.sent[receipt.Message]; state != nil {
		h.deliveryTimes = append(h.deliveryTimes, receipt.At.Sub(state.sentAt))
	}
}

type acceptedConfiguration struct {
	sequence   uint64
	document   string
	acceptedAt time.Time
}

// AcceptConfiguration records that a configuration built on a base was acknowledged to an operator
// under a sequence. The same document may be acknowledged again.
func (h *History) AcceptConfiguration(base, sequence uint64, document string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous, ok := h.configurationsByBase[base]
	if ok && (previous.sequence != sequence || previous.document != document) {
		h.violate(Invalid, "two configurations on base %d were accepted: %d at %s and %d at %s", base,
			previous.sequence, previous.acceptedAt, sequence, now)
	}
	if _, known := h.configurations[sequence]; known && !ok {
		h.violate(Invalid, "configuration %d was accepted on two bases, the second is %d, at %s", sequence, base, now)
	}
	if !ok {
		h.configurationsByBase[base], h.configurations[sequence] = acceptedConfiguration{sequence, document, now}, now
	}
}

// Accepted returns the sequences of the accepted configurations.
func (h *History) Accepted() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.configurations))
}

// ObserveConfiguration checks which configuration a serving node reported at some moment after
// requestedAt. node names one run of the node. Within a run the configuration must not go back, and
// one that was accepted must be reported within bound.
func (h *History) ObserveConfiguration(node string, sequence uint64, requestedAt time.Time, bound time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sequence < h.shownSequence[node] {
		h.violate(Spread, "%s showed configuration %d after %d", node, sequence, h.shownSequence[node])
	}
	h.shownSequence[node] = max(sequence, h.shownSequence[node])
	for newer, acceptedAt := range h.configurations {
		if sequence < newer && requestedAt.Sub(acceptedAt) > bound {
			h.violate(Spread, "%s served configuration %d, %s after %d was accepted", node, sequence,
				requestedAt.Sub(acceptedAt), newer)
		}
	}
}

// ObserveEffect checks an action that a node took on a call begun at requestedAt, and that newer
// configurations forbid. sequence is the newest configuration that allows the action.
func (h *History) ObserveEffect(node string, sequence uint64, requestedAt time.Time, bound time.Duration, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for newer, acceptedAt := range h.configurations {
		if sequence < newer && requestedAt.Sub(acceptedAt) > bound {
			h.violate(Spread, "%s %s %s after configuration %d was accepted", node, what, requestedAt.Sub(acceptedAt), newer)
			return
		}
	}
}

// ObserveContents checks the contents that a node shows for a sequence against those accepted.
func (h *History) ObserveContents(node string, sequence uint64, shown, accepted string) {
	if shown != accepted {
		h.Violate(Invalid, "%s shows for configuration %d %q, accepted was %q", node, sequence, shown, accepted)
	}
}

// UrgentCall checks the time that an urgent call on a topic took while routine work was blocked
// against a limit.
func (h *History) UrgentCall(topic, beside string, elapsed, limit time.Duration) {
	if elapsed > limit {
		h.Violate(Behind, "an urgent call on %s took %s beside %s, the limit is %s", topic, elapsed, beside, limit)
	}
}

// ReadConfiguration checks a configuration that an operator read back: the read began at
// requestedAt and returned sequence.
func (h *History) ReadConfiguration(sequence uint64, requestedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for newer, acceptedAt := range h.configurations {
		if sequence < newer && acceptedAt.Before(requestedAt) {
			h.violate(Readback, "configuration %d was read back after %d was accepted", sequence, newer)
		}
	}
}

// Report is the result of a run. Longest is the longest of the waits that began before the cut.
// LongestUndisturbed is the wait with the longest part without a fault, of all waits.
type Report struct {
	Sent, Accepted, Unknown, Refused int
	Receipts, Subscribers            int
	Configurations                   int
	Violations                       []Violation
	Spread, Urgent, Routine          Spans
	Waits, Retried                   map[string]Spans
	Longest                          Wait
	LongestUndisturbed               Wait
	Decisions                        map[string]int
	Promises                         int
	Faults                           map[string]int
	// Judged reports which rules this run could have broken.
	Judged map[string]bool
}

// Spans holds the quantiles of a set of durations.
type Spans struct {
	Count              int
	P50, P95, P99, Max time.Duration
}

func quantiles(durations []time.Duration) Spans {
	if len(durations) == 0 {
		return Spans{}
	}
	sort.Slice(durations, func(i, k int) bool { return durations[i] < durations[k] })
	quantile := func(fraction float64) time.Duration { return durations[int(fraction*float64(len(durations)-1))] }
	return Spans{len(durations), quantile(0.5), quantile(0.95), quantile(0.99), durations[len(durations)-1]}
}

// Check checks the whole history as of now. Messages accepted before the cut must have arrived.
func (h *History) Check(cut, now time.Time) Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := Report{Sent: len(h.sent), Subscribers: len(h.subscribers), Configurations: len(h.configurations)}
	positions := newPositionIndex(h)
	for message, state := range h.sent {
		switch state.outcome {
		case Accepted:
			report.Accepted++
			positions.record(message, state.partition, state.offset, "acknowledged to the sender")
		case Unknown:
			report.Unknown++
		}
	}
	for _, bodies := range h.refused {
		report.Refused += len(bodies)
	}
	positions.recordReceipts()
	h.judgePositions(positions)
	for client, subscriber := range h.subscribers {
		h.judgeSubscriber(client, subscriber, positions)
		report.Receipts += len(subscriber.receipts)
	}
	h.judgeCompleteness(cut)
	h.judgeReadings(cut)
	h.judgeDecisions(&report)
	h.judgeDelivery()
	h.judgeWaits(cut, now, &report)
	report.Promises, report.Faults = h.promises, h.faultCounts
	h.noteJudged(&report)
	report.Spread, report.Urgent, report.Routine = quantiles(h.deliveryTimes), quantiles(h.urgentTimes),
		quantiles(h.routineTimes)
	report.Violations = h.violations
	return report
}

func (h *History) judgeSubscriber(client string, subscriber *subscriber, positions *positionIndex) {
	seen := map[Message]bool{}
	last := map[string]uint64{}
	offset := map[string]uint64{}
	for _, receipt := range subscriber.receipts {
		if _, ok := subscriber.since[receipt.Topic]; !ok {
			h.violate(Foreign, "%s got %v, a topic that it did not subscribe to", client, receipt.Message)
		}
		if seen[receipt.Message] {
			h.violate(Twice, "%s got %v twice", client, receipt.Message)
		}
		key := receipt.Topic + "\x1f" + receipt.From
		if receipt.Call <= last[key] && !seen[receipt.Message] {
			h.violate(Order, "%s got %v after call %d", client, receipt.Message, last[key])
		}
		seen[receipt.Message] = true
		if last[key] != 0 && !subscriber.live[receipt.Topic] && !subscriber.excused {
			for _, call := range positions.callsBetween(receipt.Topic, receipt.From, last[key], receipt.Call) {
				h.violate(Missed, "%s got %v after call %d, without call %d, which is in the partition log", client,
					receipt.Message, last[key], call)
			}
		}
		last[key] = max(last[key], receipt.Call)
		if receipt.Offset <= offset[receipt.Topic] {
			h.violate(Order, "%s got %v at offset %d after %d", client, receipt.Message, receipt.Offset,
				offset[receipt.Topic])
		}
		offset[receipt.Topic] = receipt.Offset
		state, ok := h.sent[receipt.Message]
		if !ok {
			h.violate(Foreign, "%s got %v, which no client sent", client, receipt.Message)
			continue
		}
		if state.body != receipt.Body {
			h.violate(Foreign, "%s got %v with another body", client, receipt.Message)
		}
		if h.refused[receipt.Message][receipt.Body] && state.outcome != Accepted {
			h.violate(Foreign, "%s got %v, which was refused", client, receipt.Message)
		}
	}
}

func (h *History) judgeCompleteness(cut time.Time) {
	for client, subscriber := range h.subscribers {
		if subscriber.excused {
			continue
		}
		received := map[Message]bool{}
		for _, receipt := range subscriber.receipts {
			received[receipt.Message] = true
		}
		for message, state := range h.sent {
			since, ok := subscriber.since[message.Topic]
			if !ok || subscriber.live[message.Topic] || state.outcome != Accepted || !state.sentAt.After(since) ||
				state.acceptedAt.After(cut) {
				continue
			}
			if !received[message] {
				h.violate(Lost, "%s never got %v, acknowledged at %d/%d on %s", client, message, state.partition,
					state.offset, state.acceptedAt.Format("15:04:05.000"))
			}
		}
	}
}

func (h *History) judgeDelivery() {
	for client, subscriber := range h.subscribers {
		for _, receipt := range subscriber.receipts {
			state := h.sent[receipt.Message]
			if state == nil || state.outcome != Accepted || subscriber.live[receipt.Topic] ||
				!state.sentAt.After(subscriber.since[receipt.Topic]) || subscriber.excused {
				continue
			}
			from := state.acceptedAt
			if receipt.At.Before(from) {
				from = receipt.At
			}
			h.addWait(pending{WaitDeliver, fmt.Sprintf("partition %d to %s", receipt.Partition, client), from},
				receipt.At, false)
		}
	}
}
