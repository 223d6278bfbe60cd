//go:build review

package stand

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	begun time.Time
	w     *bufio.Writer
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{begun: time.Now(), w: bufio.NewWriterSize(file, 1<<16), file: file}, nil
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w == nil {
		return
	}
	fmt.Fprintf(r.w, "%8.3f ", time.Since(r.begun).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
	r.w = nil
}
