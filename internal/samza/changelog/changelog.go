// Package changelog writes a partition's state to its replicated changelog and reads it back.
package changelog

import (
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Batch is a part of the latest values of changed keys, as of an input offset.
type Batch struct {
	Input    uint64       `json:"i"`
	Part     int          `json:"p"`
	Parts    int          `json:"n"`
	Complete bool         `json:"w,omitempty"`
	Items    []state.Item `json:"s"`
}

// Commit says that the state up to an input offset is durable; Base is where a compacted changelog
// starts.
type Commit struct {
	Input uint64 `json:"i"`
	Base  uint64 `json:"b,omitempty"`
}

const itemsPerPart = 256

// EncodeBatch makes the entries of one batch; complete marks a compaction.
func EncodeBatch(input uint64, items []state.Item, complete bool) []log.Entry {
	parts := (len(items) + itemsPerPart - 1) / itemsPerPart
	var entries []log.Entry
	for i := range parts {
		to := min((i+1)*itemsPerPart, len(items))
		b, _ := json.Marshal(Batch{
			Input: input, Part: i, Parts: parts, Complete: complete,
			Items: items[i*itemsPerPart : to],
		})
		entries = append(entries, log.Entry{Type: log.TypeBatch, Body: b})
	}
	return entries
}

// EncodeCommit makes the entry that commits an input offset.
func EncodeCommit(commit Commit) log.Entry {
	b, _ := json.Marshal(commit)
	return log.Entry{Type: log.TypeOffset, Body: b}
}

// Replay applies changelog entries to a state: batches only when complete, the input offset only by
// its record. It returns the committed input offset.
func Replay(s *state.State, input uint64, entries []log.Entry) (uint64, error) {
	var parts []Batch
	for _, entry := range entries {
		switch entry.Type {
		case log.TypeBatch:
			var batch Batch
			if err := json.Unmarshal(entry.Body, &batch); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", entry.Offset)
			}
			if batch.Part == 0 {
				parts = nil
			}
			if batch.Part != len(parts) || batch.Part > 0 && parts[0].Input != batch.Input {
				parts = nil
				continue
			}
			if parts = append(parts, batch); len(parts) < batch.Parts {
				continue
			}
			for _, part := range parts {
				for _, item := range part.Items {
					if err := s.Set(item); err != nil {
						return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog key %q", item.Key)
					}
				}
			}
			parts = nil
		case log.TypeOffset:
			var commit Commit
			if err := json.Unmarshal(entry.Body, &commit); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", entry.Offset)
			}
			input = max(input, commit.Input)
		}
	}
	return input, nil
}
