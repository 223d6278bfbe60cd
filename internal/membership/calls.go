package membership

import (
	"time"

	"postjunction/internal/wire"
)

// Session is the session of one node: what the node said, and how long ago.
type Session struct {
	Info Info          `json:"info"`
	Age  time.Duration `json:"age"`
}

// SessionUpdate is what one control node sends another of its sessions: what changed, and how long
// ago all of them were heard at most, save those that are Late.
type SessionUpdate struct {
	Change Change                   `json:"c"`
	Age    time.Duration            `json:"a,omitempty"`
	Late   map[string]time.Duration `json:"l,omitempty"`
}

// SessionsRequest sends a control node the sessions of another.
type SessionsRequest struct {
	From     string    `json:"from"`
	Sessions []Session `json:"sessions,omitempty"`
	// Update has the sessions by their changes; Sessions is empty then. KnownVersion is how far the
	// list of the receiver is known to the sender.
	Update       *SessionUpdate `json:"s,omitempty"`
	KnownVersion *Version       `json:"h,omitempty"`
}

// SessionsResponse returns the sessions of the receiver.
type SessionsResponse struct {
	From         string         `json:"f,omitempty"`
	Sessions     []Session      `json:"sessions,omitempty"`
	Update       *SessionUpdate `json:"s,omitempty"`
	KnownVersion *Version       `json:"h,omitempty"`
}

// IdentifyRequest asks a seed who it is. A control node that knows no voter set says who it is
// itself, so that others find it through the seed.
type IdentifyRequest struct {
	From *Info `json:"from,omitempty"`
}

// IdentifyResponse says who a node is and which nodes it knows.
type IdentifyResponse struct {
	Info  Info   `json:"info"`
	Known []Info `json:"known"`
}

// The calls of membership.
var (
	Sessions = wire.NewProcedure[SessionsRequest, SessionsResponse]("Member", "Sessions", wire.Monotonic,
		"sessions carry ages, and what was heard later stands")
	Identify = wire.NewProcedure[IdentifyRequest, IdentifyResponse]("Member", "Hello", wire.Monotonic,
		"what is said of the sender is kept for a session at most")
)
