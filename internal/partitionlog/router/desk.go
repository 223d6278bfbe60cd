// Package router takes ledger work in at the owner's node and hands it over from every other.
package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/gossip"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// AttachRequest records an attachment.
type AttachRequest struct {
	Client     string `json:"v"`
	Secret     string `json:"s"`
	Generation uint64 `json:"g,omitempty"`
	Urgent     bool   `json:"u,omitempty"`
}

// AttachResponse gives the attachment's generation and the cursor that was left.
type AttachResponse struct {
	Generation  uint64            `json:"g"`
	SavedCursor state.SavedCursor `json:"k"`
}

// ReadAttachmentRequest asks which attachment is in force.
type ReadAttachmentRequest struct {
	Client string `json:"v"`
	Urgent bool   `json:"u,omitempty"`
}

// ReadAttachmentResponse says so.
type ReadAttachmentResponse struct {
	Attachment  state.Attachment  `json:"t"`
	SavedCursor state.SavedCursor `json:"k"`
}

// SaveCursorRequest leaves a cursor.
type SaveCursorRequest struct {
	Client     string `json:"v"`
	Generation uint64 `json:"g"`
	Cursor     string `json:"c"`
	Urgent     bool   `json:"u,omitempty"`
}

// Empty is an answer without contents.
type Empty struct{}

// UsageRequest asks how a partition's topics were used.
type UsageRequest struct {
	Partition int `json:"p"`
}

// UsageResponse says so.
type UsageResponse struct {
	Topics     []leader.TopicUsage   `json:"u"`
	Tombstones *leader.TombstoneView `json:"m,omitempty"`
}

// TraceRequest asks what the ledger knows of a call.
type TraceRequest struct {
	Client  string `json:"v"`
	Topic   string `json:"t"`
	CallSeq uint64 `json:"c"`
}

// TraceResponse says so: whether the call was taken and where, who decided, and the last number taken. Forgotten is a call so old that it may have been taken.
type TraceResponse struct {
	Partition   int    `json:"partition"`
	Leader      string `json:"owner"`
	Epoch       uint64 `json:"epoch"`
	Accepted    bool   `json:"taken"`
	Offset      uint64 `json:"offset,omitempty"`
	LastCallSeq uint64 `json:"last_call_seq"`
	Forgotten   bool   `json:"forgotten,omitempty"`
}

// PendingReadersRequest asks whether all readers of a partition have read behind a mark, waiting up to Hold.
type PendingReadersRequest struct {
	Partition int           `json:"p"`
	Offset    uint64        `json:"o"`
	Hold      time.Duration `json:"h"`
}

// The desk's calls.
var (
	Submit         = wire.NewProcedure[leader.Message, leader.Decision]("Ledger", "Submit", wire.Deduplicated, "the message has its number, which the owner remembers")
	Attach         = wire.NewProcedure[AttachRequest, AttachResponse]("Ledger", "Attach", wire.Deduplicated, "the attachment has a secret of its own; the one in force is known by it")
	ReadAttachment = wire.NewProcedure[ReadAttachmentRequest, ReadAttachmentResponse]("Ledger", "Attached", wire.ReadOnly, "confirmed by a majority of copies")
	SaveCursor     = wire.NewProcedure[SaveCursorRequest, Empty]("Ledger", "Ack", wire.Monotonic, "the cursor left last stands, as long as the attachment is in force")
	Trace          = wire.NewProcedure[TraceRequest, TraceResponse]("Ledger", "Trace", wire.ReadOnly, "looks up a call's fate")
	Usage          = wire.NewProcedure[UsageRequest, UsageResponse]("Ledger", "Usage", wire.ReadOnly, "counts")
	Read           = wire.NewProcedure[leader.ReadRequest, leader.ReadResponse]("Ledger", "Read", wire.ReadOnly, "committed entries behind a place")
	// PendingReaders tells who has not read behind a mark yet.
	PendingReaders = wire.NewProcedure[PendingReadersRequest, leader.PendingReaders]("Ledger", "Forgotten", wire.ReadOnly, "waits for readers, changes nothing")
)

// Leaders finds the owner that runs here.
type Leaders interface {
	Leader(p int) (*leader.Leader, error)
}

// Router is one node's.
type Router struct {
	Self    string
	Net     wire.Network
	Clock   clock.Clock
	Timing  settings.Timing
	Store   *gossip.Store
	View    *membership.View
	Leaders Leaders
	reigns  reigns
	// Backlog is how many messages may wait here for one partition; nil for any number.
	Backlog func() int
	// CompressStreams has the messages of followed topics come with their bodies packed.
	CompressStreams bool

	lanes lanes
}

func (d *Router) here(p int) (*leader.Leader, error) { return d.Leaders.Leader(p) }

func (d *Router) place(q *leader.Message) (int, error) {
	x := d.Store.Index()
	if x.Sequence < q.Configuration {
		return 0, apierror.New(apierror.NotReady, "the call was let in under description %d, this node has %d", q.Configuration, x.Sequence)
	}
	s, err := x.Find(q.Topic)
	if err != nil {
		return 0, err
	}
	return partition.Of(q.Topic, s.Urgent, d.Store.VoterSet().Layout), nil
}

func (d *Router) submit(ctx context.Context, q *leader.Message) (*leader.Decision, error) {
	p, err := d.place(q)
	if err != nil {
		return nil, err
	}
	o, err := d.here(p)
	if err != nil {
		return nil, err
	}
	return o.Submit(ctx, q)
}

func (d *Router) attach(ctx context.Context, q *AttachRequest) (*AttachResponse, error) {
	o, err := d.here(d.home(q.Client, q.Urgent))
	if err != nil {
		return nil, err
	}
	g, err := o.Attach(ctx, q.Client, q.Secret, q.Generation)
	if err != nil {
		return nil, err
	}
	_, k, err := o.Attachment(ctx, q.Client)
	return &AttachResponse{Generation: g, SavedCursor: k}, err
}

func (d *Router) attached(ctx context.Context, q *ReadAttachmentRequest) (*ReadAttachmentResponse, error) {
	o, err := d.here(d.home(q.Client, q.Urgent))
	if err != nil {
		return nil, err
	}
	t, k, err := o.Attachment(ctx, q.Client)
	return &ReadAttachmentResponse{Attachment: t, SavedCursor: k}, err
}

func (d *Router) ack(ctx context.Context, q *SaveCursorRequest) (*Empty, error) {
	o, err := d.here(d.home(q.Client, q.Urgent))
	if err != nil {
		return nil, err
	}
	return &Empty{}, o.SaveCursor(ctx, q.Client, q.Generation, q.Cursor)
}

func (d *Router) read(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	q.Hold = min(q.Hold, d.Timing.LongPoll())
	return o.Read(ctx, q)
}

func (d *Router) forgotten(ctx context.Context, q *PendingReadersRequest) (*leader.PendingReaders, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	return o.PendingReaders(ctx, q.Offset, min(q.Hold, d.Timing.LongPoll()))
}

func (d *Router) usage(_ context.Context, q *UsageRequest) (*UsageResponse, error) {
	o, err := d.here(q.Partition)
	if err != nil {
		return nil, err
	}
	us, err := o.Usage()
	return &UsageResponse{Topics: us, Tombstones: o.Tombstones()}, err
}

func (d *Router) trace(ctx context.Context, q *TraceRequest) (*TraceResponse, error) {
	s, err := d.Store.Index().Find(q.Topic)
	if err != nil {
		return nil, err
	}
	o, err := d.here(partition.Of(q.Topic, s.Urgent, d.Store.VoterSet().Layout))
	if err != nil {
		return nil, err
	}
	a, at, kept, err := o.Trace(ctx, q.Client, q.Topic, q.CallSeq)
	t := &TraceResponse{Partition: o.Record.Partition, Leader: d.Self, Epoch: o.Record.Epoch, Accepted: kept, LastCallSeq: a.Last, Forgotten: !kept && q.CallSeq <= a.Floor}
	if kept {
		t.Offset = at.Offset
	}
	return t, err
}

// Serve adds the desk's calls.
func (d *Router) Serve(m *http.ServeMux) {
	Submit.Handle(m, d.submit)
	SubmitMany.Handle(m, d.submitMany)
	Attach.Handle(m, d.attach)
	ReadAttachment.Handle(m, d.attached)
	SaveCursor.Handle(m, d.ack)
	Read.Handle(m, d.read)
	Usage.Handle(m, d.usage)
	PendingReaders.Handle(m, d.forgotten)
	Trace.Handle(m, d.trace)
	d.serveFans(m)
}

var elsewhere = map[apierror.Code]bool{
	apierror.NotPartitionLeader: true, apierror.NotReady: true, apierror.Unreachable: true, apierror.OutcomeUnknown: true,
	apierror.ShuttingDown: true, apierror.StaleEpoch: true, apierror.NoLease: true, apierror.Stopped: true,
}

var unclear = map[apierror.Code]bool{apierror.Unreachable: true, apierror.OutcomeUnknown: true, apierror.Internal: true}

var final = map[apierror.Code]bool{apierror.CallAltered: true, apierror.CallPassed: true, apierror.CallForgotten: true, apierror.TokenFenced: true, apierror.Malformed: true, apierror.KeyUnknown: true}

// handOver has a task done by the partition's owner, wherever that is. It tries again while something may come of it: at once after news of the record,
// and else for a call's time after the last such news. When the node knows that nobody can decide for now, it says so after one more look.
func handOver[Q, A any](ctx context.Context, d *Router, p int, c *wire.Procedure[Q, A], local func(context.Context, *Q) (*A, error), q *Q) (*A, error) {
	doubt, hopes, short := false, 0, d.Timing.MaxBackoff()/soonShare
	var seen uint64
	since := d.Clock.Now()
	for {
		ch := d.Store.Changed()
		r := d.Store.Record(p)
		if r.Version != seen {
			seen, since, hopes, short = r.Version, d.Clock.Now(), 0, d.Timing.MaxBackoff()/soonShare
		}
		begun := d.Clock.Now()
		a, err := try(ctx, d, p, r, c, local, q)
		if err == nil {
			return a, nil
		}
		k := apierror.From(err).Code
		doubt = doubt || unclear[k]
		if !elsewhere[k] && k != apierror.NoPartitionLeader {
			if doubt && !final[k] {
				return nil, apierror.Wrap(apierror.OutcomeUnknown, apierror.New(apierror.OutcomeUnknown, "%v", err), "partition %d", p)
			}
			return nil, err
		}
		now := d.Clock.Now()
		if looks[k] > 0 {
			hopes++
		}
		over := hopes >= looks[k] && looks[k] > 0 || now.Sub(since) >= d.Timing.CallTimeout() || unclear[k] && now.Sub(begun) >= d.Timing.CallTimeout()
		if over && d.Store.Record(p).Version == seen {
			return nil, d.surrender(p, doubt, err)
		}
		pause := d.Timing.MaxBackoff()
		if soon[k] {
			short = min(2*short, pause)
			pause = short
		}
		cx, stop := context.WithTimeout(ctx, pause)
		select {
		case <-ch:
		case <-cx.Done():
		}
		stop()
		if ctx.Err() != nil {
			return nil, d.surrender(p, doubt, err)
		}
	}
}

// soon are the problems of a partition that is on its way from one owner to another, which takes milliseconds: pauses begin short.
var soon = map[apierror.Code]bool{apierror.NotPartitionLeader: true, apierror.NotReady: true, apierror.ShuttingDown: true, apierror.StaleEpoch: true}

const soonShare = 32

// looks is how often a problem is met, without news of the record in between, before a call is given up.
var looks = map[apierror.Code]int{apierror.NoPartitionLeader: 2, apierror.Unreachable: 3}

// surrender is the answer to a call that this node has given up on, with the time to come back.
func (d *Router) surrender(p int, doubt bool, err error) error {
	k := apierror.NoPartitionLeader
	if doubt {
		k = apierror.OutcomeUnknown
	}
	x := apierror.New(k, "partition %d could not decide: %v", p, err)
	return x.WithRetryAfter(clock.Jitter(2*d.Timing.MaxBackoff(), 1, rand.Float64()).Round(time.Millisecond))
}

func try[Q, A any](ctx context.Context, d *Router, p int, r assignment.Record, c *wire.Procedure[Q, A], local func(context.Context, *Q) (*A, error), q *Q) (*A, error) {
	if r.Leader == "" {
		return nil, apierror.New(apierror.NoPartitionLeader, "partition %d has no owner yet", p)
	}
	cx, stop := context.WithTimeout(ctx, d.Timing.CallTimeout())
	defer stop()
	if r.Leader == d.Self {
		return local(cx, q)
	}
	i, ok := d.View.Get(r.Leader)
	if !ok {
		return nil, apierror.New(apierror.NoPartitionLeader, "the owner %s of partition %d is gone", r.Leader, p)
	}
	defer context.AfterFunc(d.reigns.of(d.Store, r), stop)()
	return c.Call(cx, d.Net, d.Self, i.PeerAddr, q)
}

// Submit has a message decided by its partition's owner, wherever that is.
func (d *Router) Submit(ctx context.Context, p int, q *leader.Message) (*leader.Decision, error) {
	return handOver(ctx, d, p, Submit, d.submit, q)
}

func (d *Router) home(visitor string, urgent bool) int {
	return partition.OfClient(visitor, urgent, d.Store.VoterSet().Layout)
}

// UsesTwoHomes tells whether attachments are kept in an urgent partition too: once every member's build does.
func (d *Router) UsesTwoHomes() bool {
	for _, i := range d.View.All() {
		if !i.SupportsTwoHomes {
			return false
		}
	}
	return d.Store.VoterSet().Layout.UrgentPartitions > 0
}

// CheckKeysSupported gives a problem until every member's build knows keys and withdrawals.
func (d *Router) CheckKeysSupported() error {
	for _, i := range d.View.All() {
		if !i.SupportsKeys {
			return apierror.New(apierror.NotReady, "the build of %s knows no keys", i.Name)
		}
	}
	return nil
}

// HomePartition gives the partition that vouches for a visitor's urgent or routine calls.
func (d *Router) HomePartition(visitor string, urgent bool) int {
	return d.home(visitor, urgent && d.UsesTwoHomes())
}

// Attach has an attachment recorded: numbered in the visitor's routine home, then known in the urgent one.
func (d *Router) Attach(ctx context.Context, q *AttachRequest) (*AttachResponse, error) {
	a, err := handOver(ctx, d, d.home(q.Client, false), Attach, d.attach, q)
	if err != nil || !d.UsesTwoHomes() {
		return a, err
	}
	return a, d.carryOver(ctx, q.Client, q.Secret, a.Generation)
}

func (d *Router) carryOver(ctx context.Context, visitor, secret string, generation uint64) error {
	_, err := handOver(ctx, d, d.home(visitor, true), Attach, d.attach, &AttachRequest{Client: visitor, Secret: secret, Generation: generation, Urgent: true})
	return err
}

// ReadAttachment asks which attachment is in force. An urgent home that does not know of this generation yet, since an older
// build or a call that broke off in between gave it out, learns of it from the routine home.
func (d *Router) ReadAttachment(ctx context.Context, v string, generation uint64, urgent bool) (*ReadAttachmentResponse, error) {
	urgent = urgent && d.UsesTwoHomes()
	a, err := handOver(ctx, d, d.home(v, urgent), ReadAttachment, d.attached, &ReadAttachmentRequest{Client: v, Urgent: urgent})
	if err != nil || !urgent || a.Attachment.Generation >= generation {
		return a, err
	}
	b, err := handOver(ctx, d, d.home(v, false), ReadAttachment, d.attached, &ReadAttachmentRequest{Client: v})
	if err == nil && b.Attachment.Generation == generation {
		err = d.carryOver(ctx, v, b.Attachment.Secret, generation)
	}
	return b, err
}

// SaveCursor leaves a cursor, in both homes.
func (d *Router) SaveCursor(ctx context.Context, q *SaveCursorRequest) error {
	_, err := handOver(ctx, d, d.home(q.Client, false), SaveCursor, d.ack, q)
	if err != nil || !d.UsesTwoHomes() {
		return err
	}
	u := *q
	u.Urgent = true
	_, err = handOver(ctx, d, d.home(q.Client, true), SaveCursor, d.ack, &u)
	return err
}

// Read reads committed entries of a partition, without what stands under keys.
func (d *Router) Read(ctx context.Context, p int, from uint64, hold time.Duration) (*leader.ReadResponse, error) {
	return d.ReadAsReader(ctx, &leader.ReadRequest{Partition: p, From: from, Hold: hold})
}

// ReadAsReader reads committed entries of a partition as a reader that may mind withdrawals.
func (d *Router) ReadAsReader(ctx context.Context, q *leader.ReadRequest) (*leader.ReadResponse, error) {
	return handOver(ctx, d, q.Partition, Read, d.read, q)
}

// Trace asks what the ledger knows of a call.
func (d *Router) Trace(ctx context.Context, p int, q *TraceRequest) (*TraceResponse, error) {
	return handOver(ctx, d, p, Trace, d.trace, q)
}

// PendingReaders asks who has not read behind a mark of a partition yet, waiting up to hold until nobody is left.
func (d *Router) PendingReaders(ctx context.Context, p int, offset uint64, hold time.Duration) (*leader.PendingReaders, error) {
	return handOver(ctx, d, p, PendingReaders, d.forgotten, &PendingReadersRequest{Partition: p, Offset: offset, Hold: hold})
}

// Usage asks how a partition's topics were used.
func (d *Router) Usage(ctx context.Context, p int) ([]leader.TopicUsage, error) {
	a, err := handOver(ctx, d, p, Usage, d.usage, &UsageRequest{Partition: p})
	if err != nil {
		return nil, err
	}
	return a.Topics, nil
}

// Tombstones asks which withdrawals of a partition stand and who reads what has keys; nil where nothing does.
func (d *Router) Tombstones(ctx context.Context, p int) (*leader.TombstoneView, error) {
	a, err := handOver(ctx, d, p, Usage, d.usage, &UsageRequest{Partition: p})
	if err != nil {
		return nil, err
	}
	return a.Tombstones, nil
}

// Record gives the newest ownership record known here.
func (d *Router) Record(p int) assignment.Record { return d.Store.Record(p) }
