package serve

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/event"
	"postjunction/internal/settings"
)

// logBuffer is a log that can be waited on.
type logBuffer struct {
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
	more chan struct{}
}

func newLogBuffer() *logBuffer { return &logBuffer{more: make(chan struct{}, 1)} }

// Write takes log lines.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	select {
	case l.more <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (l *logBuffer) count(e event.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), fmt.Sprintf("event=%d", e.Number))
}

func (l *logBuffer) await(t *testing.T, e event.Event, n int) {
	t.Helper()
	for l.count(e) < n {
		select {
		case <-l.more:
		case <-t.Context().Done():
			t.Fatalf("event %d did not come %d times", e.Number, n)
		}
	}
}

func ports(t *testing.T, n int) []string {
	var as []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		as = append(as, l.Addr().String())
		defer func() { _ = l.Close() }()
	}
	return as
}

func testSettings(t *testing.T, a []string, more string) string {
	f := filepath.Join(t.TempDir(), "o.json")
	s := fmt.Sprintf(`{"name":"a1","zone":"z1","listen":%q,"fellow_listen":%q,"seeds":[%q,%q,%q]%s}`, a[0], a[1],
		a[2], a[3], a[4], more)
	assert.NilError(t, os.WriteFile(f, []byte(s), 0o600))
	return f
}

// A SIGHUP once ended the process. It has the settings read again, at once and changed or not; a
// broken pipe does nothing.
func TestSIGHUPReloadsSettings(t *testing.T) {
	as := ports(t, 5)
	f := testSettings(t, as, "")
	l := newLogBuffer()
	done := make(chan error, 1)
	go func() { done <- Run([]string{"-options", f}, l) }()
	l.await(t, event.Listening, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	l.await(t, event.SettingsReloaded, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGPIPE))
	assert.NilError(t, os.WriteFile(f, []byte(`{"name":"other"}`), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	l.await(t, event.SettingsRejected, 1)
	select {
	case err := <-done:
		t.Fatalf("the process ended: %v", err)
	default:
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-done)
}

// The previous process still holds the port: the start waits until that one closes it.
func TestStartWaitsForItsPort(t *testing.T) {
	as := ports(t, 5)
	other, err := net.Listen("tcp", as[0])
	assert.NilError(t, err)
	l := newLogBuffer()
	done := make(chan error, 1)
	go func() { done <- Run([]string{"-options", testSettings(t, as, "")}, l) }()
	l.await(t, event.StartDelayed, 1)
	assert.NilError(t, other.Close())
	l.await(t, event.Listening, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-done)
}

// A port that stays held ends the start after the recovery bound; a disk that takes no writes never
// does; what can't pass does at once.
func TestRetry(t *testing.T) {
	for code, want := range map[apierror.Code]time.Duration{
		apierror.ResourceInUse: settings.DefaultTiming.Recovery, apierror.DiskFull: time.Hour,
		apierror.DiskFailed: time.Hour, apierror.SettingsInvalid: 0, apierror.DiskForeign: 0,
	} {
		t.Run(string(code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := make(chan struct{})
				start := &retrier{clock: clock.Real{}, timing: settings.DefaultTiming,
					log: event.NewLogger(hclog.NewNullLogger()), stop: stop}
				end := time.AfterFunc(time.Hour, func() { close(stop) })
				defer end.Stop()
				at := time.Now()
				_, err := retry(start, func() (int, error) { return 0, apierror.New(code, "not now") })
				assert.Assert(t, apierror.HasCode(err, code))
				got := time.Since(at)
				assert.Assert(t, got >= want && got <= want+settings.DefaultTiming.MaxBackoff(), "%s", got)
			})
		})
	}
}

type breakingServer struct {
	served chan net.Listener
	fail   chan error
}

// Serve fails when fail has an error.
func (s *breakingServer) Serve(l net.Listener) error {
	s.served <- l
	return <-s.fail
}

// Shutdown does nothing.
func (s *breakingServer) Shutdown(context.Context) error { return nil }

// Close does nothing.
func (s *breakingServer) Close() error { return nil }

// A listener that breaks is opened again; it once ended the process.
func TestBrokenListenerIsOpenedAgain(t *testing.T) {
	a := ports(t, 1)[0]
	l := newLogBuffer()
	sup := &supervisor{clock: clock.Real{}, timing: settings.DefaultTiming,
		log: event.NewLogger(hclog.New(&hclog.LoggerOptions{Output: l}))}
	listener := Listener{Setting: "listen", Address: a}
	first, err := listener.open()
	assert.NilError(t, err)
	b := &breakingServer{served: make(chan net.Listener), fail: make(chan error)}
	done := make(chan struct{})
	go func() {
		sup.serve(listener, b, first)
		close(done)
	}()
	<-b.served
	b.fail <- apierror.New(apierror.Internal, "broken")
	second := <-b.served
	assert.Equal(t, second.Addr().String(), a)
	assert.Equal(t, l.count(event.ServeFailed), 1)
	sup.end()
	b.fail <- apierror.New(apierror.Internal, "broken")
	<-done
	assert.NilError(t, second.Close())
}
