package membership

import (
	"time"

	"postjunction/internal/wire"
)

// Session is the session of one node: the Info that it sent, and the time since.
type Session struct {
	Info Info          `json:"info"`
	Age  time.Duration `json:"age"`
}

// SessionUpdate is an update of one control node's sessions for another: what changed, and the
// highest age of all sessions except those in Late.
type SessionUpdate struct {
	Change Change                   `json:"c"`
	Age    time.Duration            `json:"a,omitempty"`
	Late   map[string]time.Duration `json:"l,omitempty"`
}

// SessionsRequest sends one control node's sessions to another.
type SessionsRequest struct {
	From     string    `json:"from"`
	Sessions []Session `json:"sessions,omitempty"`
	// Update has the sessions as changes; Sessions is empty then. KnownVersion is the version of
	// the receiver's list that the sender has.
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

// IdentifyRequest asks a seed for its Info. A control node that knows no voter set sends its own,
// so that others find it through the seed.
type IdentifyRequest struct {
	From *Info `json:"from,omitempty"`
}

// IdentifyResponse returns a node's Info and those of the nodes that it knows.
type IdentifyResponse struct {
	Info  Info   `json:"info"`
	Known []Info `json:"known"`
}

// Sessions exchanges the sessions of two control nodes. Identify asks a node for its Info.
var (
	Sessions = wire.NewProcedure[SessionsRequest, SessionsResponse]("Member", "Sessions", wire.Monotonic,
		"sessions carry ages, and what was heard later stands")
	Identify = wire.NewProcedure[IdentifyRequest, IdentifyResponse]("Member", "Hello", wire.Monotonic,
		"what is said of the sender is kept for a session at most")
)
