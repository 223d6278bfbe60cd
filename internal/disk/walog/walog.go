// Package walog stores the log of a journal on disk with tidwall/wal.
//
// Invariants: a record counts as synced, also in the side file, only after its segment and the
// folders that list the segment were synced. A short last record is truncated, any other damage is
// reported. A Log is used by one goroutine at a time.
package walog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"syscall"

	"github.com/tidwall/wal"

	"postjunction/internal/apierror"
)

// Log is one tidwall/wal folder with a side file that records the last synced index.
type Log struct {
	dir          string
	log          *wal.Log
	syncedFile   *os.File
	synced       uint64
	segmentCount int
	// maxTail is an upper bound of the bytes in the last segment. Once it reaches segmentBytes a
	// new segment may have begun.
	maxTail int
}

const (
	syncedFileBytes = 24
	segmentBytes    = 1 << 20
	lengthBytes     = binary.MaxVarintLen64
)

var codeByErrno = map[syscall.Errno]apierror.Code{
	syscall.ENOSPC: apierror.DiskFull,
	syscall.EDQUOT: apierror.DiskFull,
	syscall.EFBIG:  apierror.DiskFull,
}

func codeOf(err error) apierror.Code {
	var errno syscall.Errno
	if errors.As(err, &errno) {
		if code, ok := codeByErrno[errno]; ok {
			return code
		}
	}
	if errors.Is(err, wal.ErrCorrupt) {
		return apierror.DiskDamaged
	}
	return apierror.DiskFailed
}

func wrap(err error, action string) error { return apierror.Wrap(codeOf(err), err, "%s", action) }

// Open opens or creates the log in dir. It truncates a short last record.
func Open(dir string) (*Log, error) {
	l := &Log{dir: dir}
	return l, l.Reopen()
}

func (l *Log) path() string { return filepath.Join(l.dir, "journal") }

// Reopen closes the handles, which may not work any more, and opens the log again.
func (l *Log) Reopen() error {
	_ = l.Close()
	if err := os.MkdirAll(l.path(), 0o750); err != nil {
		return wrap(err, "create the data folder")
	}
	if err := cutShortTail(l.path()); err != nil {
		return wrap(err, "check for a short last record")
	}
	opened, err := wal.Open(
		l.path(),
		&wal.Options{
			NoSync: true, SegmentSize: segmentBytes, SegmentCacheSize: 1, AllowEmpty: true,
			DirPerms: 0o750, FilePerms: 0o640,
		},
	)
	if err != nil {
		return wrap(err, "open the journal")
	}
	l.log, l.segmentCount, l.maxTail = opened, 0, segmentBytes
	file, err := os.OpenFile(filepath.Join(l.dir, "synced"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return wrap(err, "open the file of the last synced index")
	}
	l.syncedFile = file
	b := make([]byte, syncedFileBytes)
	if length, _ := file.ReadAt(b, 0); length > 0 {
		l.synced, _ = strconv.ParseUint(string(leadingDigits(b[:length])), 10, 64)
	}
	return l.syncFolders()
}

func leadingDigits(b []byte) []byte {
	for i, c := range b {
		if c < '0' || c > '9' {
			return b[:i]
		}
	}
	return b
}

func (l *Log) syncFolders() error {
	for _, folder := range []string{l.path(), l.dir} {
		file, err := os.Open(folder)
		if err != nil {
			return wrap(err, "open a folder to sync it")
		}
		err = file.Sync()
		_ = file.Close()
		if err != nil {
			return wrap(err, "sync a folder")
		}
	}
	return nil
}

func segments(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var paths []string
	for _, entry := range entries {
		if len(entry.Name()) == 20 {
			paths = append(paths, filepath.Join(dir, entry.Name()))
		}
	}
	sort.Strings(paths)
	return paths, nil
}

func cutShortTail(dir string) error {
	paths, err := segments(dir)
	if err != nil || len(paths) == 0 {
		return err
	}
	path := paths[len(paths)-1]
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	offset := 0
	for offset < len(b) {
		length, prefix := binary.Uvarint(b[offset:])
		if prefix <= 0 || length > uint64(len(b)-offset-prefix) {
			return os.Truncate(path, int64(offset))
		}
		offset += prefix + int(length)
	}
	return nil
}

// Write appends records from index first on; they are not durable yet.
func (l *Log) Write(first uint64, records [][]byte) error {
	if l.log == nil {
		return apierror.New(apierror.DiskFailed, "the journal is closed")
	}
	var batch wal.Batch
	for i, record := range records {
		batch.Write(first+uint64(i), record)
		l.maxTail += len(record) + lengthBytes
	}
	return wrap(l.log.WriteBatch(&batch), "write to the journal")
}

// Sync makes all that was written durable, folder entries of new segments included.
func (l *Log) Sync() error {
	if l.log == nil {
		return apierror.New(apierror.DiskFailed, "the journal is closed")
	}
	if err := l.log.Sync(); err != nil {
		return wrap(err, "sync the journal")
	}
	if err := l.syncNewSegments(); err != nil {
		return err
	}
	_, last, err := l.Bounds()
	if err != nil {
		return err
	}
	l.synced = last
	_, _ = l.syncedFile.WriteAt([]byte(fmt.Sprintf("%020d\n", last)), 0)
	return nil
}

func (l *Log) syncNewSegments() error {
	if l.maxTail < segmentBytes {
		return nil
	}
	paths, err := segments(l.path())
	if err != nil {
		return wrap(err, "list the segments")
	}
	if len(paths) != l.segmentCount {
		if err := l.syncFolders(); err != nil {
			return err
		}
	}
	l.segmentCount, l.maxTail = len(paths), 0
	if len(paths) > 0 {
		info, err := os.Stat(paths[len(paths)-1])
		if err != nil {
			return wrap(err, "read the size of the last segment")
		}
		l.maxTail = int(info.Size())
	}
	return nil
}

// Read returns the record at an index.
func (l *Log) Read(index uint64) ([]byte, error) {
	b, err := l.log.Read(index)
	return b, wrap(err, "read from the journal")
}

// Bounds returns the first and last index; last is first-1 when the log is empty.
func (l *Log) Bounds() (uint64, uint64, error) {
	first, err := l.log.FirstIndex()
	if err != nil {
		return 0, 0, wrap(err, "read the first index")
	}
	last, err := l.log.LastIndex()
	return first, last, wrap(err, "read the last index")
}

// CutFront drops all records before index.
func (l *Log) CutFront(index uint64) error {
	if err := l.log.TruncateFront(index); err != nil {
		return wrap(err, "cut the front of the journal")
	}
	l.maxTail = segmentBytes
	return l.syncFolders()
}

// CutBack drops all records after index.
func (l *Log) CutBack(index uint64) error {
	if err := l.log.TruncateBack(index); err != nil {
		return wrap(err, "cut the back of the journal")
	}
	l.maxTail = segmentBytes
	return l.syncFolders()
}

// Synced returns the last index that was recorded as synced.
func (l *Log) Synced() uint64 { return l.synced }

// SetAside moves a damaged journal away and starts an empty one.
func (l *Log) SetAside() error {
	_ = l.Close()
	for number := 1; ; number++ {
		target := filepath.Join(l.dir, fmt.Sprintf("damaged-%d", number))
		if _, err := os.Stat(target); err == nil {
			continue
		}
		if err := os.Rename(l.path(), target); err != nil {
			return wrap(err, "set the damaged journal aside")
		}
		break
	}
	_ = os.Remove(filepath.Join(l.dir, "synced"))
	l.synced = 0
	return l.Reopen()
}

// Close releases the files.
func (l *Log) Close() error {
	var err error
	if l.log != nil {
		err = l.log.Close()
		l.log = nil
	}
	if l.syncedFile != nil {
		_ = l.syncedFile.Close()
		l.syncedFile = nil
	}
	return wrap(err, "close the journal")
}
