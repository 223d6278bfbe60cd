package nodelease

import (
	"time"

	"postjunction/internal/configuration"
	"postjunction/internal/membership"
	"postjunction/internal/voters"
	"postjunction/internal/wire"
)

// Heartbeat is the call that renews a node's session with a control node.
var Heartbeat = wire.NewProcedure[HeartbeatRequest, HeartbeatResponse]("Member", "Pulse", wire.Monotonic,
	"a session is renewed as of when the heartbeat arrived; infos are numbered within a run")

// HeartbeatRequest renews a session.
type HeartbeatRequest struct {
	Info    membership.Info `json:"info,omitzero"`
	Leaving bool            `json:"left,omitempty"`
	// InfoReference replaces an Info that has not changed since this control node received it.
	InfoReference *InfoReference `json:"b,omitempty"`
	// KnownVersion is the version of the member list that the node has from this control node.
	// Older builds send none and receive all members.
	KnownVersion *membership.Version `json:"h,omitempty"`
	// AcceptsChanges reports whether the node accepts a configuration as changes to the one it has.
	AcceptsChanges bool `json:"c,omitempty"`
}

// InfoReference identifies an Info by the node, its boot, and the number that the control node
// assigned to it.
type InfoReference struct {
	Name       string `json:"n"`
	BootID     string `json:"b"`
	InfoNumber uint64 `json:"s"`
}

// HeartbeatResponse returns the members and the parts of the voter set and configuration that the
// node lacks. If a majority confirmed the current configuration, it also says which one that is.
type HeartbeatResponse struct {
	Members []membership.Info `json:"members,omitempty"`
	// Change has the members as a change to the KnownVersion of the request.
	Change *membership.Change `json:"c,omitempty"`
	// InfoNumber is the number of the node's last complete Info, 0 to request a complete one.
	InfoNumber uint64 `json:"s,omitempty"`
	// WarmingUp reports that the control node started so recently that it can't know all members
	// yet.
	WarmingUp bool `json:"young,omitempty"`
	// Isolated reports that no majority has answered the control node for so long that its sessions
	// may have moved to others.
	Isolated bool `json:"a,omitempty"`
	// Confirmed reports whether Sequence and Age are valid: the sequence number of the current
	// configuration, and the time since a majority was asked for it.
	Confirmed     bool                   `json:"confirmed"`
	Sequence      uint64                 `json:"sequence"`
	Age           time.Duration          `json:"age"`
	VoterSet      *voters.Set            `json:"roster,omitempty"`
	Configuration *configuration.Config  `json:"description,omitempty"`
	Changes       []configuration.Change `json:"d,omitempty"`
}
