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

// logBuffer is a log output with which a test can wait for an event.
type logBuffer struct {
	// mu guards text.
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func newLogBuffer() *logBuffer { return &logBuffer{written: make(chan struct{}, 1)} }

// Write appends lines of the log.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text.Write(b)
	select {
	case l.written <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (l *logBuffer) count(logged event.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), fmt.Sprintf("event=%d", logged.Number))
}

func (l *logBuffer) await(t *testing.T, logged event.Event, times int) {
	t.Helper()
	for l.count(logged) < times {
		select {
		case <-l.written:
		case <-t.Context().Done():
			t.Fatalf("event %d was not logged %d times", logged.Number, times)
		}
	}
}

func freeAddrs(t *testing.T, count int) []string {
	var addrs []string
	for range count {
		port, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addrs = append(addrs, port.Addr().String())
		defer func() { _ = port.Close() }()
	}
	return addrs
}

func writeSettings(t *testing.T, addrs []string, extraFields string) string {
	path := filepath.Join(t.TempDir(), "o.json")
	content := fmt.Sprintf(`{"name":"a1","zone":"z1","listen":%q,"fellow_listen":%q,"seeds":[%q,%q,%q]%s}`, addrs[0], addrs[1],
		addrs[2], addrs[3], addrs[4], extraFields)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// A SIGHUP must not end the process. It must reload the settings immediately, whether they changed
// or not. SIGPIPE must be ignored.
func TestSIGHUPReloadsSettings(t *testing.T) {
	addrs := freeAddrs(t, 5)
	path := writeSettings(t, addrs, "")
	log := newLogBuffer()
	done := make(chan error, 1)
	go func() { done <- Run([]string{"-options", path}, log) }()
	log.await(t, event.Listening, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	log.await(t, event.SettingsReloaded, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGPIPE))
	assert.NilError(t, os.WriteFile(path, []byte(`{"name":"other"}`), 0o600))
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	log.await(t, event.SettingsRejected, 1)
	select {
	case err := <-done:
		t.Fatalf("the process ended: %v", err)
	default:
	}
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-done)
}

// If the previous process still uses the port, the start waits until that process closes it.
func TestStartWaitsForItsPort(t *testing.T) {
	addrs := freeAddrs(t, 5)
	previousListener, err := net.Listen("tcp", addrs[0])
	assert.NilError(t, err)
	log := newLogBuffer()
	done := make(chan error, 1)
	go func() { done <- Run([]string{"-options", writeSettings(t, addrs, "")}, log) }()
	log.await(t, event.StartDelayed, 1)
	assert.NilError(t, previousListener.Close())
	log.await(t, event.Listening, 1)
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	assert.NilError(t, <-done)
}

// A port that is not released ends the start after the recovery time. A disk that accepts no writes
// never ends it. An error that can't pass by itself ends it immediately.
func TestRetry(t *testing.T) {
	for code, want := range map[apierror.Code]time.Duration{
		apierror.ResourceInUse: settings.DefaultTiming.Recovery, apierror.DiskFull: time.Hour,
		apierror.DiskFailed: time.Hour, apierror.SettingsInvalid: 0, apierror.DiskForeign: 0,
	} {
		t.Run(string(code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := make(chan struct{})
				startRetrier := &retrier{clock: clock.Real{}, timing: settings.DefaultTiming,
					log: event.NewLogger(hclog.NewNullLogger()), stop: stop}
				end := time.AfterFunc(time.Hour, func() { close(stop) })
				defer end.Stop()
				startedAt := time.Now()
				_, err := retry(startRetrier, func() (int, error) { return 0, apierror.New(code, "not now") })
				assert.Assert(t, apierror.HasCode(err, code))
				elapsed := time.Since(startedAt)
				assert.Assert(t, elapsed >= want && elapsed <= want+settings.DefaultTiming.MaxBackoff(), "%s", elapsed)
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

// A failed listener must not end the process. It must be opened again.
func TestBrokenListenerIsOpenedAgain(t *testing.T) {
	addr := freeAddrs(t, 1)[0]
	log := newLogBuffer()
	sup := &supervisor{clock: clock.Real{}, timing: settings.DefaultTiming,
		log: event.NewLogger(hclog.New(&hclog.LoggerOptions{Output: log}))}
	listener := Listener{Setting: "listen", Address: addr}
	first, err := listener.open()
	assert.NilError(t, err)
	server := &breakingServer{served: make(chan net.Listener), fail: make(chan error)}
	done := make(chan struct{})
	go func() {
		sup.serve(listener, server, first)
		close(done)
	}()
	<-server.served
	server.fail <- apierror.New(apierror.Internal, "broken")
	second := <-server.served
	assert.Equal(t, second.Addr().String(), addr)
	assert.Equal(t, log.count(event.ServeFailed), 1)
	sup.end()
	server.fail <- apierror.New(apierror.Internal, "broken")
	<-done
	assert.NilError(t, second.Close())
}
