package acceptor

import (
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

// slotRecord is the slot of one key in the journal.
type slotRecord struct {
	Key  string `json:"key"`
	Slot Slot   `json:"slot"`
}

// voterSetRecord is the voter set in the journal. Clear drops all slots of earlier records.
type voterSetRecord struct {
	VoterSet        voters.Set  `json:"roster"`
	AgreedBootstrap *voters.Set `json:"founding,omitempty"`
	Clear           bool        `json:"clear,omitempty"`
}

func encode(kind uint16, record any) journal.Record {
	body, _ := json.Marshal(record)
	return journal.Record{Kind: kind, Body: body}
}

// Restore applies a record of the journal. It returns DiskDamaged if the record can't be decoded.
func (a *Acceptor) Restore(record journal.Record) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if record.Kind == recordtype.Slot {
		var restored slotRecord
		if err := json.Unmarshal(record.Body, &restored); err != nil {
			return apierror.Wrap(apierror.DiskDamaged, err, "read a slot")
		}
		a.slots[restored.Key] = restored.Slot
		return nil
	}
	var restored voterSetRecord
	if err := json.Unmarshal(record.Body, &restored); err != nil {
		return apierror.Wrap(apierror.DiskDamaged, err, "read a voter set")
	}
	a.voterSet, a.agreedBootstrap = restored.VoterSet, restored.AgreedBootstrap
	if restored.Clear {
		a.slots = map[string]Slot{}
	}
	return nil
}

// LiveSize returns how many records the journal must retain, and their size in bytes.
func (a *Acceptor) LiveSize() (count int, bytes int64) {
	records := a.liveRecords()
	for _, record := range records {
		bytes += int64(len(record.Body))
	}
	return len(records), bytes
}

// Slices returns the live records as one slice, because the record of the voter set clears the
// slots before it.
func (a *Acceptor) Slices() []journal.Slice { return journal.EncodeAll(a.liveRecords) }

func (a *Acceptor) liveRecords() []journal.Record {
	a.mu.Lock()
	defer a.mu.Unlock()
	voterSet := voterSetRecord{VoterSet: a.voterSet, AgreedBootstrap: a.agreedBootstrap, Clear: true}
	records := []journal.Record{encode(recordtype.VoterSet, voterSet)}
	for key, slot := range a.slots {
		records = append(records, encode(recordtype.Slot, slotRecord{Key: key, Slot: slot}))
	}
	return records
}
