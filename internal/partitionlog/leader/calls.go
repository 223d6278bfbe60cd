package leader

import (
	"time"

	"postjunction/internal/partitionlog/log"
)

// FollowRequest says which topics of a partition a node follows: Topics has the number of its
// subscribers to each topic, 0 for a topic that it drops. It changes what the node followed as of
// BaseSequence, unless it is Full.
type FollowRequest struct {
	Partition    int    `json:"p"`
	Node         string `json:"n"`
	BootID       string `json:"b"`
	BaseSequence uint64 `json:"f,omitempty"`
	Sequence     uint64 `json:"q"`
	Full         bool   `json:"u,omitempty"`
	// FirstOnly asks for at most one message of the backlog, as a subscriber waits for it.
	FirstOnly bool           `json:"s,omitempty"`
	Topics    map[string]int `json:"t,omitempty"`
	// After asks for the backlog of topics, of each after an offset.
	After    map[string]uint64 `json:"a,omitempty"`
	Compress bool              `json:"z,omitempty"`
	// TracksTombstones says that the node drops what is withdrawn. Only such a node is sent
	// messages with keys.
	TracksTombstones bool `json:"m,omitempty"`
	// Finished says that the node no longer follows the partition, and has dropped everything that
	// it was sent.
	Finished bool `json:"d,omitempty"`
	// ReaderToken is that of the last response to this boot ID. Without it no node becomes a reader
	// or replaces another run, because a late request may come from a run that has ended.
	ReaderToken uint64 `json:"v,omitempty"`
}

// FollowResponse answers a FollowRequest. Messages of the topics after CommittedEnd are returned by
// Poll. Backlog has those that were requested, up to BacklogEnd.
type FollowResponse struct {
	Epoch        uint64 `json:"e"`
	Base         uint64 `json:"b"`
	CommittedEnd uint64 `json:"t"`
	BacklogEnd   uint64 `json:"u"`
	// UnknownFollower says that the leader doesn't know the state that the request changes. A full
	// request is needed.
	UnknownFollower bool `json:"l,omitempty"`
	// MustReset says that the node was given up as a reader. It must drop everything that it has of
	// the partition and follow under another boot ID.
	MustReset bool `json:"c,omitempty"`
	// IsReader says that the node is a reader now, though it may not have been sent any message
	// with a key.
	IsReader    bool        `json:"r,omitempty"`
	ReaderToken uint64      `json:"v,omitempty"`
	Backlog     []log.Entry `json:"n,omitempty"`
	// Trimmed has the offset of the last trimmed message for each topic whose backlog is no longer
	// complete.
	Trimmed    map[string]uint64 `json:"g,omitempty"`
	Compressed *CompressedBodies `json:"z,omitempty"`
}

// PollRequest asks for committed messages of the followed topics after an offset, waiting up to
// MaxWait for some. The fields that FollowRequest has too mean the same.
type PollRequest struct {
	Partition        int           `json:"p"`
	Node             string        `json:"n"`
	BootID           string        `json:"b"`
	Sequence         uint64        `json:"q"`
	From             uint64        `json:"f"`
	MaxWait          time.Duration `json:"h"`
	Compress         bool          `json:"z,omitempty"`
	TracksTombstones bool          `json:"m,omitempty"`
	ReaderToken      uint64        `json:"v,omitempty"`
}

// PollResponse has the messages after PollRequest.From, up to To, and all withdrawals of the
// partition if the node tracks tombstones. The fields that FollowResponse has too mean the same.
type PollResponse struct {
	Epoch           uint64            `json:"e"`
	Base            uint64            `json:"b"`
	To              uint64            `json:"t"`
	UnknownFollower bool              `json:"l,omitempty"`
	MustReset       bool              `json:"c,omitempty"`
	IsReader        bool              `json:"r,omitempty"`
	ReaderToken     uint64            `json:"v,omitempty"`
	Entries         []log.Entry       `json:"n,omitempty"`
	Trimmed         map[string]uint64 `json:"g,omitempty"`
	Compressed      *CompressedBodies `json:"z,omitempty"`
}

// endOfLog as ReadRequest.From asks only where the committed partition log ends.
const endOfLog = ^uint64(0)

// ReadRequest asks for committed entries after an offset, waiting up to MaxWait for some. From
// ^uint64(0) asks only where the committed partition log ends. With TracksTombstones, the node is
// the reader Node under BootID. Unless IgnoreProgress is set, it has dropped everything that is
// withdrawn up to From.
type ReadRequest struct {
	Partition        int           `json:"p"`
	From             uint64        `json:"f"`
	MaxWait          time.Duration `json:"h"`
	Node             string        `json:"n,omitempty"`
	BootID           string        `json:"b,omitempty"`
	TracksTombstones bool          `json:"m,omitempty"`
	IgnoreProgress   bool          `json:"s,omitempty"`
	// Finished says that the reader has dropped everything and reads no further under this boot ID.
	Finished bool `json:"d,omitempty"`
	// ReaderToken is that of an earlier response. Without it no node becomes a reader, because a
	// late request may come from a run that has ended.
	ReaderToken uint64 `json:"u,omitempty"`
}

// ReadResponse is a part of the committed partition log: the entries after ReadRequest.From, up to
// To. Withdrawn bodies are dropped, and so are those of messages with keys if the request doesn't
// track tombstones. MustReset means the same as in FollowResponse.
type ReadResponse struct {
	Base        uint64      `json:"base"`
	To          uint64      `json:"to"`
	Epoch       uint64      `json:"epoch"`
	MustReset   bool        `json:"c,omitempty"`
	ReaderToken uint64      `json:"u,omitempty"`
	Entries     []log.Entry `json:"n,omitempty"`
}
