package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/transport"
)

// Process is one machine of the fleet.
type Process struct {
	Name      string
	Opts      settings.Options
	file      string
	bin       string
	dir       string
	transport *transport.HTTP

	// mu guards the fields below. cmd is nil while no process runs. runs counts the started
	// processes.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	runs int
}

// The ports that processes are given.
const (
	portsFrom = 12000
	portsTo   = 30000
)

// lastPort holds the port that was returned last.
var lastPort = struct {
	sync.Mutex
	port int
}{port: portsFrom + rand.IntN(portsTo-portsFrom)}

// freePort returns the address of a port without a listener, below the range from which the system
// picks ports for connections and for listeners on port 0. A port of that range could be in use by
// the time the process that it is meant for starts.
func freePort() (string, error) {
	lastPort.Lock()
	defer lastPort.Unlock()
	for range portsTo - portsFrom {
		if lastPort.port++; lastPort.port >= portsTo {
			lastPort.port = portsFrom
		}
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.port)
		if listener, err := net.Listen("tcp", address); err == nil {
			return address, apierror.Wrap(apierror.Internal, listener.Close(), "release port %d", lastPort.port)
		}
	}
	return "", apierror.New(apierror.Internal, "no port from %d to %d is free", portsFrom, portsTo)
}

// Write writes the settings file of a machine.
func (p *Process) Write(options settings.Options) error {
	b, _ := json.MarshalIndent(options, "", "  ")
	return apierror.Wrap(apierror.Usage, os.WriteFile(p.file, append(b, '\n'), 0o640), "settings of %s", p.Name)
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return apierror.Wrap(apierror.Usage, err, "log of %s", p.Name)
	}
	command := exec.Command(p.bin, "serve", "-options", p.file)
	command.Stderr = log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return apierror.Wrap(apierror.Usage, err, "start %s", p.Name)
	}
	p.cmd, p.done = command, make(chan struct{})
	p.runs++
	go p.reap(command, p.done, log)
	return nil
}

// reap waits for the end of a process and records it.
func (p *Process) reap(command *exec.Cmd, done chan struct{}, log *os.File) {
	_ = command.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(done)
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends a signal and returns how long that took. If the signal ends the process, it waits
// for the end.
func (p *Process) Signal(signal syscall.Signal, ends bool) time.Duration {
	p.mu.Lock()
	command, done := p.cmd, p.done
	p.mu.Unlock()
	if command == nil {
		return 0
	}
	begun := time.Now()
	_ = command.Process.Signal(signal)
	if ends {
		<-done
	}
	return time.Since(begun)
}

// Kill ends the process at once.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL, true) }

// Terminate sends SIGTERM, and SIGKILL if the process has not ended after the grace period, and
// waits for the end.
func (p *Process) Terminate(grace time.Duration) {
	p.mu.Lock()
	command, done := p.cmd, p.done
	p.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		_ = command.Process.Kill()
		<-done
	}
}

// LoseDisk kills the process and deletes the machine's data folder before the process can be
// started again.
func (p *Process) LoseDisk() error {
	for {
		p.Kill()
		p.mu.Lock()
		if p.cmd != nil {
			p.mu.Unlock()
			continue
		}
		err := p.Wipe()
		p.mu.Unlock()
		return apierror.Wrap(apierror.Internal, err, "wipe %s", p.Name)
	}
}

// Wipe deletes the machine's data folder.
func (p *Process) Wipe() error { return os.RemoveAll(p.Opts.DataDir) }

// Transport returns the transport that clients and operators reach the machine by.
func (p *Process) Transport() *transport.HTTP { return p.transport }

// Probe asks a machine whether it is ready.
func (p *Process) Probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.transport.Base+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := p.transport.Client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

const logTailBytes = 600

// logContents returns what a machine has logged in all its runs.
func (p *Process) logContents() []byte {
	b, _ := os.ReadFile(filepath.Join(p.dir, p.Name+".log"))
	return b
}
