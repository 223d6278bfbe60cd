// Package crash simulates a loss of power after each operation of a disk. Its tests compare what is
// recovered with what was acknowledged.
package crash

import (
	"sync"

	"postjunction/internal/disk/memlog"
)

// Moment is a disk as it was after one of its operations, with the number of requests that were
// answered by then.
type Moment struct {
	Op       string
	Disk     *memlog.Disk
	Answered int
}

// Log records a disk's operations, each with a copy of the disk right after it.
type Log struct {
	*memlog.Disk
	// mu guards answered and moments.
	mu       sync.Mutex
	answered int
	moments  []Moment
}

// New returns a recording log on an empty disk.
func New() *Log { return &Log{Disk: memlog.New()} }

// Answer records that one more request was answered.
func (l *Log) Answer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
}

// Moments returns all recorded moments.
func (l *Log) Moments() []Moment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moments
}

func (l *Log) record(op string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moments = append(l.moments, Moment{op, l.Disk.Copy(), l.answered})
}

// Write writes to the disk and records the moment after.
func (l *Log) Write(first uint64, records [][]byte) error {
	err := l.Disk.Write(first, records)
	l.record("write")
	return err
}

// Sync syncs the disk and records the moment after.
func (l *Log) Sync() error {
	err := l.Disk.Sync()
	l.record("sync")
	return err
}

// CutFront drops records from the front and records the moment after.
func (l *Log) CutFront(i uint64) error {
	err := l.Disk.CutFront(i)
	l.record("cut front")
	return err
}

// CutBack drops records from the back and records the moment after.
func (l *Log) CutBack(i uint64) error {
	err := l.Disk.CutBack(i)
	l.record("cut back")
	return err
}
