// Package journal groups records from many writers into few syncs on one log.
package journal

// Log is the small interface behind which a disk stands.
// Indexes are consecutive; nothing is durable before Sync returns.
type Log interface {
	Write(first uint64, recs [][]byte) error
	Sync() error
	Read(i uint64) ([]byte, error)
	Bounds() (first, last uint64, err error)
	CutFront(i uint64) error
	CutBack(i uint64) error
	Synced() uint64
	Reopen() error
	SetAside() error
	Close() error
}
