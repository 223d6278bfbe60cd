package replica

import (
	"encoding/json"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/recordtype"
	"postjunction/internal/wire"
)

type sealRecord struct {
	Partition int    `json:"p"`
	Epoch     uint64 `json:"e"`
}

type entryRecord struct {
	ID log.ID `json:"id"`
	log.Entry
}

// baseRecord sets the base of a log. With Fresh, an empty log replaces the existing one first.
type baseRecord struct {
	ID    log.ID       `json:"id"`
	Base  log.Position `json:"base"`
	Fresh bool         `json:"fresh,omitempty"`
	// Compacted is set in the base record before a slice of the log. A log that does not have the
	// base is started there.
	Compacted bool `json:"anew,omitempty"`
}

type truncationRecord struct {
	ID    log.ID `json:"id"`
	After uint64 `json:"cut"`
}

func newRecord(recordType uint16, epoch, offset uint64, body any) journal.Record {
	encoded, _ := wire.Marshal(body)
	return journal.Record{Kind: recordType, Epoch: epoch, Offset: offset, Body: encoded}
}

// decodeBody decodes a record's body in the present format, or in the first one, which was JSON.
func decodeBody(body []byte, into any) error {
	if len(body) > 0 && body[0] == '{' {
		return json.Unmarshal(body, into)
	}
	return wire.Unmarshal(body, into)
}

// restorers restore a record's body from the disk, by the record's type. The caller holds mu.
var restorers = map[uint16]func(*Replica, []byte) error{
	recordtype.Seal:       (*Replica).restoreSeal,
	recordtype.Entry:      (*Replica).restoreEntry,
	recordtype.Base:       (*Replica).restoreBase,
	recordtype.Truncation: (*Replica).restoreTruncation,
	recordtype.Snapshot:   (*Replica).restoreSnapshot,
	recordtype.Forget:     (*Replica).restoreForget,
}

func (r *Replica) restoreSeal(body []byte) error {
	var record sealRecord
	err := decodeBody(body, &record)
	r.seals[record.Partition] = max(record.Epoch, r.seals[record.Partition])
	return err
}

func (r *Replica) restoreEntry(body []byte) error {
	var record entryRecord
	err := decodeBody(body, &record)
	r.logOf(record.ID).Append(r.clock.Now(), record.Entry)
	return err
}

func (r *Replica) restoreBase(body []byte) error {
	var record baseRecord
	err := decodeBody(body, &record)
	if record.Fresh {
		r.logs[record.ID] = log.New()
	}
	position, ok := r.logOf(record.ID).Position(record.Base.Offset)
	if record.Compacted && (!ok || position != record.Base) {
		r.logs[record.ID] = log.New()
	}
	r.logOf(record.ID).TrimTo(record.Base)
	return err
}

func (r *Replica) restoreTruncation(body []byte) error {
	var record truncationRecord
	err := decodeBody(body, &record)
	r.logOf(record.ID).TruncateAfter(record.After)
	return err
}

func (r *Replica) restoreSnapshot(body []byte) error {
	var snapshot Snapshot
	err := decodeBody(body, &snapshot)
	r.snapshots[snapshot.Partition] = snapshot
	return err
}

func (r *Replica) restoreForget(body []byte) error {
	var record sealRecord
	err := decodeBody(body, &record)
	r.forget(record.Partition)
	return err
}

// RecordTypes lists the types of the records that a Replica stores.
func RecordTypes() []uint16 {
	var types []uint16
	for recordType := range restorers {
		types = append(types, recordType)
	}
	return types
}

// Restore restores a record that was read from the disk.
func (r *Replica) Restore(record journal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := restorers[record.Kind](r, record.Body)
	return apierror.Wrap(apierror.DiskDamaged, err, "read a record of kind %d", record.Kind)
}
