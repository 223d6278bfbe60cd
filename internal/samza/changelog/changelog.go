// Package changelog writes a partition's state to its replicated changelog and reads it back.
package changelog

import (
	"encoding/json"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Batch is one part of a batch of the latest values of changed keys, as of an input offset.
// IsCompaction is set if the batch has the values of all keys.
type Batch struct {
	Input        uint64       `json:"i"`
	Part         int          `json:"p"`
	Parts        int          `json:"n"`
	IsCompaction bool         `json:"w,omitempty"`
	Items        []state.Item `json:"s"`
}

// Commit records that the state up to an input offset is durable. Base is where a compacted
// changelog starts.
type Commit struct {
	Input uint64 `json:"i"`
	Base  uint64 `json:"b,omitempty"`
}

const itemsPerPart = 256

// EncodeBatch returns the entries of one batch.
func EncodeBatch(input uint64, items []state.Item, isCompaction bool) []log.Entry {
	parts := (len(items) + itemsPerPart - 1) / itemsPerPart
	var entries []log.Entry
	for i := range parts {
		end := min((i+1)*itemsPerPart, len(items))
		body, _ := json.Marshal(Batch{
			Input: input, Part: i, Parts: parts, IsCompaction: isCompaction,
			Items: items[i*itemsPerPart : end],
		})
		entries = append(entries, log.Entry{Type: log.TypeBatch, Body: body})
	}
	return entries
}

// EncodeCommit returns the entry that commits an input offset.
func EncodeCommit(commit Commit) log.Entry {
	body, _ := json.Marshal(commit)
	return log.Entry{Type: log.TypeOffset, Body: body}
}
