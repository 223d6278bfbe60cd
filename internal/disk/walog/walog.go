// Package walog keeps a journal's log on disk with tidwall/wal.
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

// Log is one tidwall/wal folder with a side file that notes the last synced index.
type Log struct {
	dir  string
	log  *wal.Log
	note *os.File
	mark uint64
	held int
	// tail is the most that the last segment can hold: a new one may have begun once it reaches a segment.
	tail int
}

const (
	notePlaces = 24
	segment    = 1 << 20
	prefix     = binary.MaxVarintLen64
)

var byErrno = map[syscall.Errno]apierror.Code{
	syscall.ENOSPC: apierror.DiskFull,
	syscall.EDQUOT: apierror.DiskFull,
	syscall.EFBIG:  apierror.DiskFull,
}

func kindOf(err error) apierror.Code {
	var n syscall.Errno
	if errors.As(err, &n) {
		if k, ok := byErrno[n]; ok {
			return k
		}
	}
	if errors.Is(err, wal.ErrCorrupt) {
		return apierror.DiskDamaged
	}
	return apierror.DiskFailed
}

func wrap(err error, say string) error { return apierror.Wrap(kindOf(err), err, "%s", say) }

// Open opens or makes the log in dir, cutting a short last record.
func Open(dir string) (*Log, error) {
	l := &Log{dir: dir}
	return l, l.Reopen()
}

func (l *Log) path() string { return filepath.Join(l.dir, "journal") }

// Reopen closes the handles, which may be in doubt, and opens the log anew.
func (l *Log) Reopen() error {
	_ = l.Close()
	if err := os.MkdirAll(l.path(), 0o750); err != nil {
		return wrap(err, "make the data folder")
	}
	if err := cutShortTail(l.path()); err != nil {
		return wrap(err, "look for a short last record")
	}
	g, err := wal.Open(l.path(), &wal.Options{NoSync: true, SegmentSize: segment, SegmentCacheSize: 1, AllowEmpty: true, DirPerms: 0o750, FilePerms: 0o640})
	if err != nil {
		return wrap(err, "open the journal")
	}
	l.log, l.held, l.tail = g, 0, segment
	n, err := os.OpenFile(filepath.Join(l.dir, "synced"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return wrap(err, "open the note of the last sync")
	}
	l.note = n
	b := make([]byte, notePlaces)
	if k, _ := n.ReadAt(b, 0); k > 0 {
		l.mark, _ = strconv.ParseUint(string(trim(b[:k])), 10, 64)
	}
	return l.syncFolders()
}

func trim(b []byte) []byte {
	for i, c := range b {
		if c < '0' || c > '9' {
			return b[:i]
		}
	}
	return b
}

func (l *Log) syncFolders() error {
	for _, d := range []string{l.path(), l.dir} {
		f, err := os.Open(d)
		if err != nil {
			return wrap(err, "open a folder to sync it")
		}
		err = f.Sync()
		_ = f.Close()
		if err != nil {
			return wrap(err, "sync a folder")
		}
	}
	return nil
}

func segments(dir string) ([]string, error) {
	es, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var s []string
	for _, e := range es {
		if len(e.Name()) == 20 {
			s = append(s, filepath.Join(dir, e.Name()))
		}
	}
	sort.Strings(s)
	return s, nil
}

func cutShortTail(dir string) error {
	s, err := segments(dir)
	if err != nil || len(s) == 0 {
		return err
	}
	p := s[len(s)-1]
	b, err := os.ReadFile(p)
	if err != nil {
		return err
	}
	at := 0
	for at < len(b) {
		n, k := binary.Uvarint(b[at:])
		if k <= 0 || n > uint64(len(b)-at-k) {
			return os.Truncate(p, int64(at))
		}
		at += k + int(n)
	}
	return nil
}

// Write appends records from index first on; they are not durable yet.
func (l *Log) Write(first uint64, recs [][]byte) error {
	if l.log == nil {
		return apierror.New(apierror.DiskFailed, "the journal is closed")
	}
	var b wal.Batch
	for i, r := range recs {
		b.Write(first+uint64(i), r)
		l.tail += len(r) + prefix
	}
	return wrap(l.log.WriteBatch(&b), "write to the journal")
}

// Sync makes all that was written durable, folder entries of new segments included.
func (l *Log) Sync() error {
	if l.log == nil {
		return apierror.New(apierror.DiskFailed, "the journal is closed")
	}
	if err := l.log.Sync(); err != nil {
		return wrap(err, "sync the journal")
	}
	if err := l.syncNew(); err != nil {
		return err
	}
	_, last, err := l.Bounds()
	if err != nil {
		return err
	}
	l.mark = last
	_, _ = l.note.WriteAt([]byte(fmt.Sprintf("%020d\n", last)), 0)
	return nil
}

func (l *Log) syncNew() error {
	if l.tail < segment {
		return nil
	}
	s, err := segments(l.path())
	if err != nil {
		return wrap(err, "list the segments")
	}
	if len(s) != l.held {
		if err := l.syncFolders(); err != nil {
			return err
		}
	}
	l.held, l.tail = len(s), 0
	if len(s) > 0 {
		i, err := os.Stat(s[len(s)-1])
		if err != nil {
			return wrap(err, "look at the last segment")
		}
		l.tail = int(i.Size())
	}
	return nil
}

// Read gives the record at an index.
func (l *Log) Read(i uint64) ([]byte, error) {
	b, err := l.log.Read(i)
	return b, wrap(err, "read from the journal")
}

// Bounds gives the first and last index; last is first-1 when the log is empty.
func (l *Log) Bounds() (uint64, uint64, error) {
	f, err := l.log.FirstIndex()
	if err != nil {
		return 0, 0, wrap(err, "read the first index")
	}
	n, err := l.log.LastIndex()
	return f, n, wrap(err, "read the last index")
}

// CutFront drops all records before i.
func (l *Log) CutFront(i uint64) error {
	if err := l.log.TruncateFront(i); err != nil {
		return wrap(err, "cut the front of the journal")
	}
	l.tail = segment
	return l.syncFolders()
}

// CutBack drops all records after i.
func (l *Log) CutBack(i uint64) error {
	if err := l.log.TruncateBack(i); err != nil {
		return wrap(err, "cut the back of the journal")
	}
	l.tail = segment
	return l.syncFolders()
}

// Synced gives the last index that was noted as synced.
func (l *Log) Synced() uint64 { return l.mark }

// SetAside moves a damaged journal away and starts an empty one.
func (l *Log) SetAside() error {
	_ = l.Close()
	for k := 1; ; k++ {
		to := filepath.Join(l.dir, fmt.Sprintf("damaged-%d", k))
		if _, err := os.Stat(to); err == nil {
			continue
		}
		if err := os.Rename(l.path(), to); err != nil {
			return wrap(err, "set the damaged journal aside")
		}
		break
	}
	_ = os.Remove(filepath.Join(l.dir, "synced"))
	l.mark = 0
	return l.Reopen()
}

// Close lets go of the files.
func (l *Log) Close() error {
	var err error
	if l.log != nil {
		err = l.log.Close()
		l.log = nil
	}
	if l.note != nil {
		_ = l.note.Close()
		l.note = nil
	}
	return wrap(err, "close the journal")
}
