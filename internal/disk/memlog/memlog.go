// Package memlog is a disk of the simulator: it forgets what was not synced, tears tails, fills up, rots and is wiped.
package memlog

import (
	"sync"

	"postjunction/internal/apierror"
)

// Disk outlives the logs that are opened on it.
type Disk struct {
	mu    sync.Mutex
	first uint64
	recs  [][]byte
	sync  uint64
	full  bool
	syncs uint64
	wrote uint64
	aside int
}

// New makes an empty disk.
func New() *Disk { return &Disk{first: 1} }

// Fill makes writes break off halfway, or succeed again.
func (d *Disk) Fill(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = on
}

// LosePower drops what was not synced; torn leaves the next record half written.
func (d *Disk) LosePower(torn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := int(d.sync + 1 - d.first)
	if k < 0 || k >= len(d.recs) {
		return
	}
	half := append([]byte(nil), d.recs[k]...)
	d.recs = d.recs[:k]
	if torn {
		for i := len(half) / 2; i < len(half); i++ {
			half[i] = 0
		}
		d.recs = append(d.recs, half)
	}
}

// Copy gives a disk with the same contents.
func (d *Disk) Copy() *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &Disk{first: d.first, recs: append([][]byte(nil), d.recs...), sync: d.sync}
}

// Unsynced gives how many records are written but not synced.
func (d *Disk) Unsynced() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(0, len(d.recs)-int(d.sync+1-d.first))
}

// LosePowerAfter drops what was not synced but for the first keep records; torn leaves the next one half written.
func (d *Disk) LosePowerAfter(keep int, torn bool) {
	d.mu.Lock()
	d.sync += uint64(keep)
	d.mu.Unlock()
	d.LosePower(torn)
}

// Wipe empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first, d.recs, d.sync = 1, nil, 0
}

// Rot flips one bit in a record, counted from the last one back.
func (d *Disk) Rot(back int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := len(d.recs) - 1 - back
	if k < 0 {
		return false
	}
	b := append([]byte(nil), d.recs[k]...)
	b[len(b)/2] ^= 1
	d.recs[k] = b
	return true
}

// Counts gives how many records were written and how many syncs were made.
func (d *Disk) Counts() (wrote, syncs, aside uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wrote, d.syncs, uint64(d.aside)
}

// Write appends records.
func (d *Disk) Write(first uint64, recs [][]byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		if first == d.first+uint64(len(d.recs)) && len(recs) > 0 {
			d.recs = append(d.recs, recs[0][:len(recs[0])/2])
		}
		return apierror.New(apierror.DiskFull, "no space is left on the simulated disk")
	}
	if first != d.first+uint64(len(d.recs)) {
		return apierror.New(apierror.DiskFailed, "index %d does not follow %d", first, d.first+uint64(len(d.recs))-1)
	}
	for _, r := range recs {
		d.recs = append(d.recs, append([]byte(nil), r...))
	}
	d.wrote += uint64(len(recs))
	return nil
}

// Sync makes all records durable.
func (d *Disk) Sync() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sync = d.first + uint64(len(d.recs)) - 1
	d.syncs++
	return nil
}

// Read gives a record.
func (d *Disk) Read(i uint64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i < d.first || i >= d.first+uint64(len(d.recs)) {
		return nil, apierror.New(apierror.OutOfRange, "record %d is not on the disk", i)
	}
	return d.recs[i-d.first], nil
}

// Bounds gives the first and last index.
func (d *Disk) Bounds() (uint64, uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.first, d.first + uint64(len(d.recs)) - 1, nil
}

// CutFront drops all records before i.
func (d *Disk) CutFront(i uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i > d.first {
		d.recs = append([][]byte(nil), d.recs[i-d.first:]...)
		d.first = i
	}
	return nil
}

// CutBack drops all records after i.
func (d *Disk) CutBack(i uint64) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recs = d.recs[:i+1-d.first]
	if d.sync > i {
		d.sync = i
	}
	return nil
}

// Synced gives the last synced index.
func (d *Disk) Synced() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sync
}

// Reopen changes nothing.
func (d *Disk) Reopen() error { return nil }

// SetAside empties the disk, as a damaged one is.
func (d *Disk) SetAside() error {
	d.Wipe()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aside++
	return nil
}

// Close changes nothing.
func (d *Disk) Close() error { return nil }
