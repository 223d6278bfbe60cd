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

// Request is one call on its way through the process.
type Request struct {
	Verb    string
	Token   string
	Client  string
	Topics  []string
	CallSeq uint64
	Body    json.RawMessage
	Cursor  string
	Emit    Emit
	// Abort makes the line that Emit is writing fail, and all after it; it does not wait.
	Abort func()
	// Key is what a message stands under, or what a withdrawal withdraws; Of and Upto name a sender and its highest number that is withdrawn too.
	Key            *string
	WithdrawSender string
	WithdrawUpTo   uint64

	who    token.Token
	spaces []configuration.Space
	acked  string
	mark   leader.Decision
	out    any
}

func (t *Request) urgent() bool {
	return (t.Verb == VerbSend || t.Verb == VerbWithdraw || t.Verb == VerbFollow) && slices.ContainsFunc(t.spaces, func(s configuration.Space) bool { return s.Urgent })
}

// Emit writes one line of a stream.
type Emit func(line []byte) error

// Service serves the callers of one node.
type Service struct {
	Clock      clock.Clock
	Timing     settings.Timing
	BodyLimit  int
	Store      *gossip.Store
	Router     *router.Router
	Feeds      *stream.Feeds
	Presence   *presence.Presence
	Limiter    *admission.Limiter
	CheckLease func() error
	Draining   <-chan struct{}
	OnResult   func(t *Request, err error)

	mu      sync.Mutex
	ways    map[string]callpolicy.Next[*Request]
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
	Client     string `json:"visitor"`
	Generation uint64 `json:"generation"`
	Cursor     string `json:"cursor,omitempty"`
}

// Receipt is the answer to send: the decision of the ledger.
type Receipt struct {
	Topic     string `json:"topic"`
	CallSeq   uint64 `json:"call_seq"`
	Partition int    `json:"partition"`
	Offset    uint64 `json:"offset"`
	Duplicate bool   `json:"repeat"`
}

// Withdrawal is the answer to withdraw: where its mark stands, and that no node shows what it covers. GivenUp names nodes that were not heard for so
// long that they have turned their visitors away.
type Withdrawal struct {
	Topic            string   `json:"topic"`
	Key              string   `json:"key"`
	CallSeq          uint64   `json:"call_seq"`
	Partition        int      `json:"partition"`
	Offset           uint64   `json:"offset"`
	Duplicate        bool     `json:"repeat"`
	AlreadyWithdrawn bool     `json:"already"`
	Complete         bool     `json:"forgotten"`
	GivenUp          []string `json:"given_up"`
}

// PresenceCount is the answer to count.
type PresenceCount struct {
	Topic    string `json:"topic"`
	Others   int    `json:"others"`
	Complete bool   `json:"whole"`
}

// CursorSaved is the answer to ack.
type CursorSaved struct {
	Cursor string `json:"cursor"`
}

const (
	topicsMost = 64
	callShare  = 2
)

var nameRule = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (s *Service) way(verb string) callpolicy.Next[*Request] {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ways == nil {
		stage, lease := callpolicy.Func[*Request](s.stage), callpolicy.Func[*Request](s.lease)
		interest, gate, identity := callpolicy.Func[*Request](s.interest), callpolicy.Func[*Request](s.gate), callpolicy.Func[*Request](s.identity)
		limit := callpolicy.Func[*Request](s.limit)
		s.ways = map[string]callpolicy.Next[*Request]{
			VerbAttach: callpolicy.Chain[*Request](s.attach, stage, lease, gate, limit),
			VerbSend:   callpolicy.Chain[*Request](s.send, stage, lease, interest, gate, limit, identity),
			VerbFollow: callpolicy.Chain[*Request](s.follow, stage, lease, interest, gate),
			VerbAck:    callpolicy.Chain[*Request](s.ack, stage, lease, gate, limit, identity),
			VerbCount:  callpolicy.Chain[*Request](s.count, stage, lease, interest, gate, limit, identity),

			VerbWithdraw: callpolicy.Chain[*Request](s.withdraw, stage, lease, interest, callpolicy.Func[*Request](s.forget), gate, limit, identity),
		}
	}
	return s.ways[verb]
}

// Do takes a task its way and gives its answer.
func (s *Service) Do(ctx context.Context, t *Request) (any, error) {
	err := s.way(t.Verb)(ctx, t)
	if err != nil && s.OnResult != nil {
		s.OnResult(t, err)
	}
	return t.out, err
}

func (s *Service) stage(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	select {
	case <-s.Draining:
		return apierror.New(apierror.ShuttingDown, "this node is stopping")
	default:
		return next(ctx, t)
	}
}

func (s *Service) lease(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	if err := s.CheckLease(); err != nil {
		return err
	}
	return next(ctx, t)
}

func (s *Service) interest(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	if len(t.Topics) == 0 || len(t.Topics) > topicsMost {
		return apierror.New(apierror.Malformed, "the call must name 1 to %d topics, names %d", topicsMost, len(t.Topics))
	}
	x := s.Store.Index()
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

func (s *Service) gate(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	l := lanes[t.Verb]
	if t.urgent() {
		l = urgentLanes[t.Verb]
	}
	leave, err := s.Limiter.Acquire(l)
	if err != nil {
		return err
	}
	defer leave()
	return next(ctx, t)
}

func (s *Service) limit(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	cx, stop := context.WithTimeout(ctx, callShare*s.Timing.CallTimeout())
	defer stop()
	return next(cx, t)
}

func (s *Service) identity(ctx context.Context, t *Request, next callpolicy.Next[*Request]) error {
	k, err := s.unpack(t)
	if err != nil {
		return err
	}
	cx, stop := context.WithTimeout(ctx, callShare*s.Timing.CallTimeout())
	defer stop()
	if err := s.identify(cx, t, k, t.urgent()); err != nil {
		return err
	}
	return next(ctx, t)
}

func (s *Service) unpack(t *Request) (token.Token, error) {
	if t.Token == "" {
		return token.Token{}, apierror.New(apierror.TokenMissing, "the call has no bearer token")
	}
	k, err := token.Decode(t.Token)
	if err == nil {
		t.Client = k.Client
	}
	return k, err
}

func (s *Service) identify(ctx context.Context, t *Request, k token.Token, urgent bool) error {
	a, err := s.Router.ReadAttachment(ctx, k.Client, k.Generation, urgent)
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
	t.who, t.Client, t.acked = k, k.Client, a.SavedCursor.Cursor
	return nil
}

func (s *Service) attach(ctx context.Context, t *Request) error {
	if !nameRule.MatchString(t.Client) {
		return apierror.New(apierror.Malformed, "visitor must be 1 to 63 of letters, digits, ., _ and -, is %q", t.Client)
	}
	sec := token.NewSecret()
	a, err := s.Router.Attach(ctx, &router.AttachRequest{Client: t.Client, Secret: token.Digest(sec)})
	if err != nil {
		return err
	}
	t.out = Attachment{Token: token.Token{Client: t.Client, Generation: a.Generation, Secret: sec}.Encode(), Client: t.Client, Generation: a.Generation, Cursor: a.SavedCursor.Cursor}
	return nil
}

func (s *Service) send(ctx context.Context, t *Request) error {
	var b bytes.Buffer
	if err := json.Compact(&b, t.Body); err != nil {
		return apierror.Wrap(apierror.Malformed, err, "body is no JSON value")
	}
	if b.Len() > s.BodyLimit {
		return apierror.New(apierror.Oversize, "the body has %d bytes, the limit is %d", b.Len(), s.BodyLimit)
	}
	d, err := s.submit(ctx, t, &leader.Message{Body: b.Bytes()})
	if err != nil {
		return err
	}
	t.out = Receipt{Topic: t.Topics[0], CallSeq: t.CallSeq, Partition: d.Partition, Offset: d.Offset, Duplicate: d.Duplicate}
	return nil
}

// submit has a message or a withdrawal decided.
func (s *Service) submit(ctx context.Context, t *Request, q *leader.Message) (*leader.Decision, error) {
	if t.Key != nil {
		if err := log.CheckName("key", *t.Key); err != nil {
			return nil, err
		}
		if err := s.Router.CheckKeysSupported(); err != nil {
			return nil, err
		}
		q.Key = *t.Key
	}
	sp := t.spaces[0]
	q.Client, q.Generation, q.Topic, q.CallSeq = t.Client, t.who.Generation, t.Topics[0], t.CallSeq
	q.Live, q.Configuration = sp.Kind == configuration.KindLive, s.Store.Index().Sequence
	return s.Router.Submit(ctx, partition.Of(q.Topic, sp.Urgent, s.Store.VoterSet().Layout), q)
}

func (s *Service) ack(ctx context.Context, t *Request) error {
	r := s.Store.VoterSet()
	if _, err := cursor.Decode(r.Fleet, r.Layout.PartitionCount(), t.Cursor); err != nil {
		return err
	}
	if err := s.Router.SaveCursor(ctx, &router.SaveCursorRequest{Client: t.Client, Generation: t.who.Generation, Cursor: t.Cursor}); err != nil {
		return err
	}
	t.out = CursorSaved{Cursor: t.Cursor}
	return nil
}

func (s *Service) count(ctx context.Context, t *Request) error {
	n, whole := s.Presence.CountOthers(ctx, t.Topics[0], t.Client)
	t.out = PresenceCount{Topic: t.Topics[0], Others: n, Complete: whole}
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
