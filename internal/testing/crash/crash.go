// Package crash cuts a disk's power after each of its writes and holds what comes back against what
// had been promised.
package crash

import (
	"sync"

	"postjunction/internal/disk/memlog"
)

// Moment is a disk as it was after one of its operations, with the number of tasks that had been
// answered by then.
type Moment struct {
	Op       string
	Disk     *memlog.Disk
	Answered int
}

// Log records a disk's operations, each with a copy of the disk right after it.
type Log struct {
	*memlog.Disk
	mu       sync.Mutex
	answered int
	moments  []Moment
}

// New makes a recording log on an empty disk.
func New() *Log { return &Log{Disk: memlog.New()} }

// Answer notes that one more task was answered.
func (l *Log) Answer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered++
}

// Moments gives what was recorded.
func (l *Log) Moments() []Moment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moments
}

func (l *Log) note(op string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moments = append(l.moments, Moment{op, l.Disk.Copy(), l.answered})
}

// Write writes and records.
func (l *Log) Write(first uint64, recs [][]byte) error {
	err := l.Disk.Write(first, recs)
	l.note("write")
	return err
}

// Sync syncs and records.
func (l *Log) Sync() error {
	err := l.Disk.Sync()
	l.note("sync")
	return err
}

// CutFront cuts and records.
func (l *Log) CutFront(i uint64) error {
	err := l.Disk.CutFront(i)
	l.note("cut front")
	return err
}

// CutBack cuts and records.
func (l *Log) CutBack(i uint64) error {
	err := l.Disk.CutBack(i)
	l.note("cut back")
	return err
}
