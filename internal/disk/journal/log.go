package journal

// Log is the storage of a journal: records of consecutive indexes. Nothing is durable before Sync
// returns. One goroutine uses it at a time. Errors are those of package apierror, DiskFull,
// DiskFailed or DiskDamaged.
type Log interface {
	// Write appends records from index first on.
	Write(first uint64, records [][]byte) error
	// Sync makes all that was written durable.
	Sync() error
	// Read returns the record at an index.
	Read(index uint64) ([]byte, error)
	// Bounds returns the first and the last index; last is first-1 when the log is empty.
	Bounds() (first, last uint64, err error)
	// CutFront drops all records before index.
	CutFront(index uint64) error
	// CutBack drops all records after index.
	CutBack(index uint64) error
	// Synced returns the last index that is known to be synced. Later ones may be synced too.
	Synced() uint64
	// Reopen opens the log anew after a failure.
	Reopen() error
	// SetAside moves a damaged log away and starts an empty one.
	SetAside() error
	// Close releases the files.
	Close() error
}
