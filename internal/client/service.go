// Package client is the service to callers: attach, send, follow, ack and count.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"regexp"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/callpolicy"
	"postjunction/internal/client/admission"
	"postjunction/internal/client/token"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/delivery/cursor"
	"postjunction/internal/delivery/stream"
	"postjunction/internal/gossip"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/router"
	"postjunction/internal/presence"
	"postjunction/internal/settings"
)

// Task is one call on its way through the process.
type Task struct {
	Verb    string
	Token   string
	Visitor string
	Topics  []string
	Call    uint64
	Body    json.RawMessage
	Cursor  string
	Emit    Emit
	// Cut makes the line that Emit is writing fail, and all after it; it does not wait.
	Cut func()
	// Key is what a message stands under, or what a withdrawal withdraws; Of and Upto name a sender and its highest number that is withdrawn too.
	Key  *string
	Of   string
	Upto uint64

	who    token.Token
	spaces []configuration.Space
	acked  string
	mark   leader.Decision
	out    any
}

func (t *Task) urgent() bool {
	return (t.Verb == VerbSend || t.Verb == VerbWithdraw || t.Verb == VerbFollow) && slices.ContainsFunc(t.spaces, func(s configuration.Space) bool { return s.Urgent })
}

// Emit writes one line of a stream.
type Emit func(line []byte) error

// Service serves the callers of one node.
type Service struct {
	Clock    clock.Clock
	Bounds   settings.Timing
	Body     int
	Board    *gossip.Store
	Desk     *router.Router
	Feeds    *stream.Feeds
	Presence *presence.Presence
	Gates    *admission.Limiter
	Licensed func() error
	Leaving  <-chan struct{}
	Heard    func(t *Task, err error)

	mu      sync.Mutex
	ways    map[string]callpolicy.Next[*Task]
	streams int
	lines   uint64
}

// The verbs.
const (
	VerbAttach = "attach"
	VerbSend   = "send"
	VerbFollow = "follow"
	VerbAck    = "ack"
	VerbCount  = "count"
	// VerbWithdraw withdraws what stands under a key.
	VerbWithdraw = "withdraw"
)

// Attachment is the answer to attach.
type Attachment struct {
	Token      string `json:"token"`
	Visitor    string `json:"visitor"`
	Generation uint64 `json:"generation"`
	Cursor     string `json:"cursor,omitempty"`
}

// Receipt is the answer to send: the decision of the ledger.
type Receipt struct {
	Topic     string `json:"topic"`
	Call      uint64 `json:"call_seq"`
	Partition int    `json:"partition"`
	Offset    uint64 `json:"offset"`
	Repeat    bool   `json:"repeat"`
}

// Withdrawal is the answer to withdraw: where its mark stands, and that no node shows what it covers. GivenUp names nodes that were not heard for so
// long that they have turned their visitors away.
type Withdrawal struct {
	Topic     string   `json:"topic"`
	Key       string   `json:"key"`
	Call      uint64   `json:"call_seq"`
	Partition int      `json:"partition"`
	Offset    uint64   `json:"offset"`
	Repeat    bool     `json:"repeat"`
	Already   bool     `json:"already"`
	Forgotten bool     `json:"forgotten"`
	GivenUp   []string `json:"given_up"`
}

// Headcount is the answer to count.
type Headcount struct {
	Topic  string `json:"topic"`
	Others int    `json:"others"`
	Whole  bool   `json:"whole"`
}

// Left is the answer to ack.
type Left struct {
	Cursor string `json:"cursor"`
}

const (
	topicsMost = 64
	callShare  = 2
)

var nameRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (s *Service) way(verb string) callpolicy.Next[*Task] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ways == nil {
		stage, lease := callpolicy.Func[*Task](s.stage), callpolicy.Func[*Task](s.lease)
		interest, gate, identity := callpolicy.Func[*Task](s.interest), callpolicy.Func[*Task](s.gate), callpolicy.Func[*Task](s.identity)
		limit := callpolicy.Func[*Task](s.limit)
		s.ways = map[string]callpolicy.Next[*Task]{
			VerbAttach: callpolicy.Chain[*Task](s.attach, stage, lease, gate, limit),
			VerbSend:   callpolicy.Chain[*Task](s.send, stage, lease, interest, gate, limit, identity),
			VerbFollow: callpolicy.Chain[*Task](s.follow, stage, lease, interest, gate),
			VerbAck:    callpolicy.Chain[*Task](s.ack, stage, lease, gate, limit, identity),
			VerbCount:  callpolicy.Chain[*Task](s.count, stage, lease, interest, gate, limit, identity),

			VerbWithdraw: callpolicy.Chain[*Task](s.withdraw, stage, lease, interest, callpolicy.Func[*Task](s.forget), gate, limit, identity),
		}
	}
	return s.ways[verb]
}

// Do takes a task its way and gives its answer.
func (s *Service) Do(ctx context.Context, t *Task) (any, error) {
	err := s.way(t.Verb)(ctx, t)
	if err != nil && s.Heard != nil {
		s.Heard(t, err)
	}
	return t.out, err
}

func (s *Service) stage(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	select {
	case <-s.Leaving:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
		return next(ctx, t)
	}
}

func (s *Service) lease(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	if err := s.Licensed(); err != nil {
		return err
	}
	return next(ctx, t)
}

func (s *Service) interest(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	if len(t.Topics) == 0 || len(t.Topics) > topicsMost {
		return apierror.New(apierror.Malformed, "the call must name 1 to %d topics, names %d", topicsMost, len(t.Topics))
	}
	x := s.Board.Index()
	for _, n := range t.Topics {
		sp, err := x.Find(n)
		if err != nil {
			return err
		}
		t.spaces = append(t.spaces, sp)
	}
	return next(ctx, t)
}

var lanes = map[string]admission.Lane{
	VerbAttach: admission.Attach, VerbFollow: admission.Stream, VerbAck: admission.Attach, VerbCount: admission.Routine, VerbSend: admission.Routine, VerbWithdraw: admission.Routine,
}

var urgentLanes = map[string]admission.Lane{VerbFollow: admission.UrgentStream, VerbSend: admission.Urgent, VerbWithdraw: admission.Urgent}

func (s *Service) gate(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	l := lanes[t.Verb]
	if t.urgent() {
		l = urgentLanes[t.Verb]
	}
	leave, err := s.Gates.Acquire(l)
	if err != nil {
		return err
	}
	defer leave()
	return next(ctx, t)
}

func (s *Service) limit(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	cx, stop := context.WithTimeout(ctx, callShare*s.Bounds.CallTimeout())
	defer stop()
	return next(cx, t)
}

func (s *Service) identity(ctx context.Context, t *Task, next callpolicy.Next[*Task]) error {
	k, err := s.unpack(t)
	if err != nil {
		return err
	}
	cx, stop := context.WithTimeout(ctx, callShare*s.Bounds.CallTimeout())
	defer stop()
	if err := s.identify(cx, t, k, t.urgent()); err != nil {
		return err
	}
	return next(ctx, t)
}

func (s *Service) unpack(t *Task) (token.Token, error) {
	if t.Token == "" {
		return token.Token{}, apierror.New(apierror.TokenMissing, "the call has no bearer token")
	}
	k, err := token.Decode(t.Token)
	if err == nil {
		t.Visitor = k.Client
	}
	return k, err
}

func (s *Service) identify(ctx context.Context, t *Task, k token.Token, urgent bool) error {
	a, err := s.Desk.ReadAttachment(ctx, k.Client, k.Generation, urgent)
	if err != nil {
		if apierror.HasCode(err, apierror.OutcomeUnknown) {
			err = apierror.New(apierror.NoPartitionLeader, "the attachment could not be checked: %v", err)
		}
		return err
	}
	switch g := a.Attachment.Generation; {
	case g > k.Generation:
		return apierror.New(apierror.TokenFenced, "attachment %d of %s is in force, the token is of %d", g, k.Client, k.Generation)
	case g < k.Generation || !k.Matches(a.Attachment.Secret):
		return apierror.New(apierror.TokenForeign, "the token is not the one given to %s", k.Client)
	}
	t.who, t.Visitor, t.acked = k, k.Client, a.SavedCursor.Cursor
	return nil
}

func (s *Service) attach(ctx context.Context, t *Task) error {
	if !nameRule.MatchString(t.Visitor) {
		return apierror.New(apierror.Malformed, "visitor must be 1 to 63 of letters, digits, ., _ and -, is %q", t.Visitor)
	}
	sec := token.NewSecret()
	a, err := s.Desk.Attach(ctx, &router.AttachRequest{Client: t.Visitor, Secret: token.Digest(sec)})
	if err != nil {
		return err
	}
	t.out = Attachment{Token: token.Token{Client: t.Visitor, Generation: a.Generation, Secret: sec}.Encode(), Visitor: t.Visitor, Generation: a.Generation, Cursor: a.SavedCursor.Cursor}
	return nil
}

func (s *Service) send(ctx context.Context, t *Task) error {
	var b bytes.Buffer
	if err := json.Compact(&b, t.Body); err != nil {
		return apierror.Wrap(apierror.Malformed, err, "body is no JSON value")
	}
	if b.Len() > s.Body {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", b.Len(), s.Body)
	}
	d, err := s.submit(ctx, t, &leader.Message{Body: b.Bytes()})
	if err != nil {
		return err
	}
	t.out = Receipt{Topic: t.Topics[0], Call: t.Call, Partition: d.Partition, Offset: d.Offset, Repeat: d.Duplicate}
	return nil
}

// submit has a message or a withdrawal decided.
func (s *Service) submit(ctx context.Context, t *Task, q *leader.Message) (*leader.Decision, error) {
	if t.Key != nil {
		if err := log.CheckName("key", *t.Key); err != nil {
			return nil, err
		}
		if err := s.Desk.CheckKeysSupported(); err != nil {
			return nil, err
		}
		q.Key = *t.Key
	}
	sp := t.spaces[0]
	q.Client, q.Generation, q.Topic, q.CallSeq = t.Visitor, t.who.Generation, t.Topics[0], t.Call
	q.Live, q.Configuration = sp.Kind == configuration.KindLive, s.Board.Index().Sequence
	return s.Desk.Submit(ctx, partition.Of(q.Topic, sp.Urgent, s.Board.VoterSet().Layout), q)
}

func (s *Service) ack(ctx context.Context, t *Task) error {
	r := s.Board.VoterSet()
	if _, err := cursor.Decode(r.Fleet, r.Layout.PartitionCount(), t.Cursor); err != nil {
		return err
	}
	if err := s.Desk.SaveCursor(ctx, &router.SaveCursorRequest{Client: t.Visitor, Generation: t.who.Generation, Cursor: t.Cursor}); err != nil {
		return err
	}
	t.out = Left{Cursor: t.Cursor}
	return nil
}

func (s *Service) count(ctx context.Context, t *Task) error {
	n, whole := s.Presence.CountOthers(ctx, t.Topics[0], t.Visitor)
	t.out = Headcount{Topic: t.Topics[0], Others: n, Whole: whole}
	return nil
}

// Streams gives how many streams are open and how many lines were written.
func (s *Service) Streams() (int, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams, s.lines
}

func (s *Service) tally(streams int, lines uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams += streams
	s.lines += lines
}

func unique(ts []string) []string {
	c := slices.Clone(ts)
	slices.Sort(c)
	return slices.Compact(c)
}
