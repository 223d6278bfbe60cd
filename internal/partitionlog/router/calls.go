package router

import (
	"time"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/samza/state"
	"postjunction/internal/wire"
)

// AttachRequest records an attachment.
type AttachRequest struct {
	Client     string `json:"v"`
	Secret     string `json:"s"`
	Generation uint64 `json:"g,omitempty"`
	Urgent     bool   `json:"u,omitempty"`
}

// AttachResponse has the attachment's generation and the cursor that was saved.
type AttachResponse struct {
	Generation  uint64            `json:"g"`
	SavedCursor state.SavedCursor `json:"k"`
}

// ReadAttachmentRequest asks which attachment is in force.
type ReadAttachmentRequest struct {
	Client string `json:"v"`
	Urgent bool   `json:"u,omitempty"`
}

// ReadAttachmentResponse has the attachment in force and the cursor that was saved.
type ReadAttachmentResponse struct {
	Attachment  state.Attachment  `json:"t"`
	SavedCursor state.SavedCursor `json:"k"`
}

// SaveCursorRequest saves a cursor.
type SaveCursorRequest struct {
	Client     string `json:"v"`
	Generation uint64 `json:"g"`
	Cursor     string `json:"c"`
	Urgent     bool   `json:"u,omitempty"`
}

// Empty is a response without contents.
type Empty struct{}

// UsageRequest asks how a partition's topics were used.
type UsageRequest struct {
	Partition int `json:"p"`
}

// UsageResponse has the usage of a partition's topics, and the status of its tombstones, nil where
// there are none.
type UsageResponse struct {
	Topics     []leader.TopicUsage   `json:"u"`
	Tombstones *leader.TombstoneView `json:"m,omitempty"`
}

// TraceRequest asks whether the partition log has a call.
type TraceRequest struct {
	Client  string `json:"v"`
	Topic   string `json:"t"`
	CallSeq uint64 `json:"c"`
}

// TraceResponse says whether a call was accepted and at which offset, which node leads the
// partition, and the client's last accepted call number. Forgotten reports a call so old that it is
// unknown whether it was accepted.
type TraceResponse struct {
	Partition   int    `json:"partition"`
	Leader      string `json:"owner"`
	Epoch       uint64 `json:"epoch"`
	Accepted    bool   `json:"taken"`
	Offset      uint64 `json:"offset,omitempty"`
	LastCallSeq uint64 `json:"last_call_seq"`
	Forgotten   bool   `json:"forgotten,omitempty"`
}

// PendingReadersRequest asks which readers of a partition have not read past a tombstone yet, and
// waits up to MaxWait until there are none.
type PendingReadersRequest struct {
	Partition int           `json:"p"`
	Offset    uint64        `json:"o"`
	MaxWait   time.Duration `json:"h"`
}

// SubmitManyRequest carries messages of one partition. They are decided in their order.
type SubmitManyRequest struct {
	Partition int               `json:"p"`
	Messages  []*leader.Message `json:"t"`
}

// SubmitManyResponse has an outcome for each message, in the same order.
type SubmitManyResponse struct {
	Outcomes []leader.Outcome `json:"v"`
}

// The procedures that a partition leader's node serves.
var (
	Submit = wire.NewProcedure[leader.Message, leader.Decision]("Ledger", "Submit", wire.Deduplicated,
		"the message has its number, which the owner remembers")
	Attach = wire.NewProcedure[AttachRequest, AttachResponse]("Ledger", "Attach", wire.Deduplicated,
		"the attachment has a secret of its own; the one in force is known by it")
	ReadAttachment = wire.NewProcedure[ReadAttachmentRequest, ReadAttachmentResponse](
		"Ledger", "Attached", wire.ReadOnly, "confirmed by a majority of copies")
	SaveCursor = wire.NewProcedure[SaveCursorRequest, Empty]("Ledger", "Ack", wire.Monotonic,
		"the cursor left last stands, as long as the attachment is in force")
	Trace = wire.NewProcedure[TraceRequest, TraceResponse]("Ledger", "Trace", wire.ReadOnly,
		"looks up a call's fate")
	Usage = wire.NewProcedure[UsageRequest, UsageResponse]("Ledger", "Usage", wire.ReadOnly, "counts")
	Read  = wire.NewProcedure[leader.ReadRequest, leader.ReadResponse]("Ledger", "Read", wire.ReadOnly,
		"committed entries behind a place")
	// PendingReaders returns which readers have not read past a tombstone yet.
	PendingReaders = wire.NewProcedure[PendingReadersRequest, leader.PendingReaders](
		"Ledger", "Forgotten", wire.ReadOnly, "waits for readers, changes nothing")
	// SubmitMany has a batch of messages decided.
	SubmitMany = wire.NewProcedure[SubmitManyRequest, SubmitManyResponse](
		"Ledger", "SubmitMany", wire.Deduplicated, "each message has its number, which the owner remembers")
)
