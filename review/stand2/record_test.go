//go:build review

package stand2

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// run is one run of a case: its record, its fleet and whether it has the disruption.
type run struct {
	trouble bool
	begun   time.Time
	fleet   *fleet

	// mu guards the fields below.
	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRun(path string) (*run, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), file: file, out: bufio.NewWriter(file)}
	r.fleet = &fleet{run: r}
	r.note("trouble: %v", r.trouble)
	return r, nil
}

// note writes one line to the record, with the time since the run began.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%9.3f  %s", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintln(r.out, line)
	if os.Getenv("PRINT") == "1" {
		fmt.Println(line)
	}
}

func (r *run) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// must ends the run as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
