// Package memlog is a disk in memory for the simulator and tests. It can lose what was not synced,
// tear the tail, fill up, corrupt records and be wiped.
package memlog

import (
	"sync"

	"postjunction/internal/apierror"
)

// Disk outlives the journals that are opened on it. mu guards all fields.
type Disk struct {
	mu       sync.Mutex
	first    uint64
	records  [][]byte
	synced   uint64
	full     bool
	syncs    uint64
	writes   uint64
	setAside int
}

// New returns an empty disk.
func New() *Disk { return &Disk{first: 1} }

// Fill makes writes fail halfway, or succeed again.
func (d *Disk) Fill(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// LosePower drops what was not synced. With torn the first unsynced record stays, half written.
func (d *Disk) LosePower(torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	firstUnsynced := int(d.synced + 1 - d.first)
	if firstUnsynced < 0 || firstUnsynced >= len(d.records) {
		return
	}
	next := append([]byte(nil), d.records[firstUnsynced]...)
	d.records = d.records[:firstUnsynced]
	if torn {
		for i := len(next) / 2; i < len(next); i++ {
			next[i] = 0
		}
		d.records = append(d.records, next)
	}
}

// Copy returns a disk with the same contents.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Disk{first: d.first, records: append([][]byte(nil), d.records...), synced: d.synced}
}

// Unsynced returns how many records are written but not synced.
func (d *Disk) Unsynced() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, len(d.records)-int(d.synced+1-d.first))
}

// LosePowerAfter drops what was not synced, except for the first keep records. With torn the next
// record stays, half written.
func (d *Disk) LosePowerAfter(keep int, torn bool) {
	d.mu.Lock()
	d.synced += uint64(keep)
	d.mu.Unlock()
	d.LosePower(torn)
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first, d.records, d.synced = 1, nil, 0
}

// CorruptRecord flips one bit in the record that is back records before the last one. It reports
// false if there is no such record.
func (d *Disk) CorruptRecord(back int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	index := len(d.records) - 1 - back
	if index < 0 {
		return false
	}
	b := append([]byte(nil), d.records[index]...)
	b[len(b)/2] ^= 1
	d.records[index] = b
	return true
}

// Counts returns how many records were written, how many syncs were made, and how many times the
// disk was set aside.
func (d *Disk) Counts() (writes, syncs, setAside uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.writes, d.syncs, uint64(d.setAside)
}

// Write appends records.
func (d *Disk) Write(first uint64, records [][]byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		if first == d.first+uint64(len(d.records)) && len(records) > 0 {
			d.records = append(d.records, records[0][:len(records[0])/2])
		}
		return apierror.New(apierror.DiskFull, "no space is left on the simulated disk")
	}
	if first != d.first+uint64(len(d.records)) {
		return apierror.New(apierror.DiskFailed, "index %d does not follow %d", first, d.first+uint64(len(d.records))-1)
	}
	for _, record := range records {
		d.records = append(d.records, append([]byte(nil), record...))
	}
	d.writes += uint64(len(records))
	return nil
}

// Sync makes all records durable.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = d.first + uint64(len(d.records)) - 1
	d.syncs++
	return nil
}

// Read returns a record.
func (d *Disk) Read(index uint64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index < d.first || index >= d.first+uint64(len(d.records)) {
		return nil, apierror.New(apierror.OutOfRange, "record %d is not on the disk", index)
	}
	return d.records[index-d.first], nil
}

// Bounds returns the first and last index.
func (d *Disk) Bounds() (uint64, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first, d.first + uint64(len(d.records)) - 1, nil
}

// CutFront drops all records before index.
func (d *Disk) CutFront(index uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if index > d.first {
		d.records = append([][]byte(nil), d.records[index-d.first:]...)
		d.first = index
	}
	return nil
}

// CutBack drops all records after index.
func (d *Disk) CutBack(index uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = d.records[:index+1-d.first]
	if d.synced > index {
		d.synced = index
	}
	return nil
}

// Synced returns the last synced index.
func (d *Disk) Synced() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// Reopen does nothing.
func (d *Disk) Reopen() error { return nil }

// SetAside empties the disk, as for a damaged log.
func (d *Disk) SetAside() error {
	d.Wipe()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setAside++
	return nil
}

// Close does nothing.
func (d *Disk) Close() error { return nil }
