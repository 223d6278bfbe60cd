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

// Commit says that the state up to an input offset is durable; Base is where a compacted changelog starts.
type Commit struct {
	Input uint64 `json:"i"`
	Base  uint64 `json:"b,omitempty"`
}

const itemsPerPart = 256

// EncodeBatch makes the entries of one batch; whole marks a compaction.
func EncodeBatch(input uint64, items []state.Item, whole bool) []log.Entry {
	n := (len(items) + itemsPerPart - 1) / itemsPerPart
	var es []log.Entry
	for i := range n {
		to := min((i+1)*itemsPerPart, len(items))
		b, _ := json.Marshal(Batch{Input: input, Part: i, Parts: n, Complete: whole, Items: items[i*itemsPerPart : to]})
		es = append(es, log.Entry{Type: log.TypeBatch, Body: b})
	}
	return es
}

// EncodeCommit makes the entry that commits an input offset.
func EncodeCommit(c Commit) log.Entry {
	b, _ := json.Marshal(c)
	return log.Entry{Type: log.TypeOffset, Body: b}
}

// Replay applies changelog entries to a state: batches only when whole, the input offset only by its record.
// It gives the committed input offset.
func Replay(s *state.State, input uint64, es []log.Entry) (uint64, error) {
	var parts []Batch
	for _, e := range es {
		switch e.Type {
		case log.TypeBatch:
			var b Batch
			if err := json.Unmarshal(e.Body, &b); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", e.Offset)
			}
			if b.Part == 0 {
				parts = nil
			}
			if b.Part != len(parts) || b.Part > 0 && parts[0].Input != b.Input {
				parts = nil
				continue
			}
			if parts = append(parts, b); len(parts) < b.Parts {
				continue
			}
			for _, p := range parts {
				for _, i := range p.Items {
					if err := s.Set(i); err != nil {
						return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog key %q", i.Key)
					}
				}
			}
			parts = nil
		case log.TypeOffset:
			var c Commit
			if err := json.Unmarshal(e.Body, &c); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", e.Offset)
			}
			input = max(input, c.Input)
		}
	}
	return input, nil
}
