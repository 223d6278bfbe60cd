package gossip

import (
	"slices"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
	"postjunction/internal/voters"
)

// Digest says how new the state of a node is, by the number of each part.
type Digest struct {
	VoterSet      uint64 `json:"r"`
	Configuration uint64 `json:"d"`
	// Records has the version of each partition's record, by partition.
	Records []uint64 `json:"p"`
	// Changes says that a configuration may come by its changes.
	Changes bool `json:"c,omitempty"`
	// ConfigurationPending says that the configuration is asked of another peer already.
	ConfigurationPending bool `json:"w,omitempty"`
	// OmitHistory says that records are wanted without their history.
	OmitHistory bool `json:"l,omitempty"`
}

// Update is what one node has and another lacks. A configuration comes complete, without its
// source, or by the changes to one that the other has.
type Update struct {
	VoterSet      *voters.Set            `json:"r,omitempty"`
	Configuration *configuration.Config  `json:"d,omitempty"`
	Changes       []configuration.Change `json:"c,omitempty"`
	Records       []assignment.Record    `json:"p,omitempty"`
}

// Empty reports whether there is nothing new.
func (u Update) Empty() bool {
	return u.VoterSet == nil && u.Configuration == nil && len(u.Changes) == 0 && len(u.Records) == 0
}

// withoutHistory returns the update with records that lack their history.
func (u Update) withoutHistory() Update {
	u.Records = slices.Clone(u.Records)
	for i, record := range u.Records {
		u.Records[i] = record.WithoutHistory()
	}
	return u
}
