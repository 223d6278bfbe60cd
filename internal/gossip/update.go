package gossip

import (
	"slices"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
	"postjunction/internal/voters"
)

// Digest describes the state of a node by the version of each part.
type Digest struct {
	VoterSet      uint64 `json:"r"`
	Configuration uint64 `json:"d"`
	// Records has the version of each partition's record, by partition.
	Records []uint64 `json:"p"`
	// Changes reports that a configuration may be sent as changes.
	Changes bool `json:"c,omitempty"`
	// ConfigurationPending reports that the configuration is already requested from another peer.
	ConfigurationPending bool `json:"w,omitempty"`
	// OmitHistory requests records without their history.
	OmitHistory bool `json:"l,omitempty"`
}

// Update is what one node has and another lacks. A configuration is sent complete, without its
// source, or as changes to one that the other node has.
type Update struct {
	VoterSet      *voters.Set            `json:"r,omitempty"`
	Configuration *configuration.Config  `json:"d,omitempty"`
	Changes       []configuration.Change `json:"c,omitempty"`
	Records       []assignment.Record    `json:"p,omitempty"`
}

// Empty reports whether the update has no parts.
func (u Update) Empty() bool {
	return u.VoterSet == nil && u.Configuration == nil && len(u.Changes) == 0 && len(u.Records) == 0
}

// withoutHistory returns the update with the history of its records removed.
func (u Update) withoutHistory() Update {
	u.Records = slices.Clone(u.Records)
	for i, record := range u.Records {
		u.Records[i] = record.WithoutHistory()
	}
	return u
}
