package changelog

import (
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

// Replay applies changelog entries to a state. A batch is applied only when it is complete. Only a
// Commit raises the input offset. Replay returns the committed input offset.
func Replay(target *state.State, input uint64, entries []log.Entry) (uint64, error) {
	var parts partialBatch
	for _, entry := range entries {
		switch entry.Type {
		case log.TypeBatch:
			var batch Batch
			if err := json.Unmarshal(entry.Body, &batch); err != nil {
				return 0, apierror.Wrap(apierror.DiskDamaged, err, "read changelog entry %d", entry.Offset)
			}
			for _, part := range parts.add(batch) {
				if err := setItems(target, part.Items); err != nil {
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

// partialBatch holds the parts of a batch that have been read, in order.
type partialBatch []Batch

// add adds the next part and returns all parts once the batch is complete. A part that does not
// continue the batch drops it. A first part starts a new one.
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

func setItems(target *state.State, items []state.Item) error {
	for _, item := range items {
		if err := target.Set(item); err != nil {
			return apierror.Wrap(apierror.DiskDamaged, err, "read changelog key %q", item.Key)
		}
	}
	return nil
}
