package changelog

import (
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Replay applies changelog entries to a state: batches only when complete, the input offset only by
// its record. It returns the committed input offset.
func Replay(s *state.State, input uint64, entries []log.Entry) (uint64, error) {
	var parts partialBatch
	for _, entry := range entries {
		switch entry.Type {
		case log.TypeBatch:
			var batch Batch
			if err := json.Unmarshal(entry.Body, &batch); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", entry.Offset)
			}
			for _, part := range parts.add(batch) {
				if err := setItems(s, part.Items); err != nil {
					return 0, err
				}
			}
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

// partialBatch is the parts of a batch that have been read, in order.
type partialBatch []Batch

// add takes the next part in and returns all parts once the batch is complete. A part that does not
// continue the batch drops it; a first part begins a new one.
func (p *partialBatch) add(part Batch) []Batch {
	if part.Part == 0 {
		*p = nil
	}
	if part.Part != len(*p) || part.Part > 0 && (*p)[0].Input != part.Input {
		*p = nil
		return nil
	}
	if *p = append(*p, part); len(*p) < part.Parts {
		return nil
	}
	complete := *p
	*p = nil
	return complete
}

func setItems(s *state.State, items []state.Item) error {
	for _, item := range items {
		if err := s.Set(item); err != nil {
			return apierror.Wrap(apierror.DiskDamaged, err, "read changelog key %q", item.Key)
		}
	}
	return nil
}
