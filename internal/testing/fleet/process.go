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
	Name string
	Opts settings.Options
	file string
	bin  string
	dir  string
	port *transport.HTTP

	// mu guards the fields below. cmd is nil while no process runs; runs counts those started.
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

// nextPort is the port that was given last.
var nextPort = struct {
	sync.Mutex
	n int
}{n: portsFrom + rand.IntN(portsTo-portsFrom)}

// freePort finds a port that nobody listens on, below those that the system gives to connections
// and to listeners without a wish: one of those could be taken by the time the process that it is
// meant for starts.
func freePort() (string, error) {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range portsTo - portsFrom {
		if nextPort.n++; nextPort.n >= portsTo {
			nextPort.n = portsFrom
		}
		a := fmt.Sprintf("127.0.0.1:%d", nextPort.n)
		if l, err := net.Listen("tcp", a); err == nil {
			return a, apierror.Wrap(apierror.Internal, l.Close(), "give back port %d", nextPort.n)
		}
	}
	return "", apierror.New(apierror.Internal, "no port from %d to %d is free", portsFrom, portsTo)
}

// Write writes the settings file of a machine.
func (p *Process) Write(o settings.Options) error {
	b, _ := json.MarshalIndent(o, "", "  ")
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
	c := exec.Command(p.bin, "serve", "-options", p.file)
	c.Stderr = log
	if err := c.Start(); err != nil {
		_ = log.Close()
		return apierror.Wrap(apierror.Usage, err, "start %s", p.Name)
	}
	p.cmd, p.done = c, make(chan struct{})
	p.runs++
	go p.reap(c, p.done, log)
	return nil
}

// reap waits for the end of a process.
func (p *Process) reap(c *exec.Cmd, done chan struct{}, log *os.File) {
	_ = c.Wait()
	_ = log.Close()
	p.mu.Lock()
	p.cmd = nil
	p.mu.Unlock()
	close(done)
}

// Running tells whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends a signal; after one that ends the process it waits for the end and says how long
// that took.
func (p *Process) Signal(s syscall.Signal, ends bool) time.Duration {
	p.mu.Lock()
	c, done := p.cmd, p.done
	p.mu.Unlock()
	if c == nil {
		return 0
	}
	t := time.Now()
	_ = c.Process.Signal(s)
	if ends {
		<-done
	}
	return time.Since(t)
}

// Kill ends the process at once.
func (p *Process) Kill() { p.Signal(syscall.SIGKILL, true) }

// Terminate sends SIGTERM, and SIGKILL to what has not ended after the grace period, and waits for
// the end.
func (p *Process) Terminate(grace time.Duration) {
	p.mu.Lock()
	c, done := p.cmd, p.done
	p.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-done
	}
}

// LoseDisk kills the process and empties the machine's data folder before anybody can start it
// again.
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

// Wipe empties the machine's data folder.
func (p *Process) Wipe() error { return os.RemoveAll(p.Opts.DataDir) }

// Port gives the machine as callers see it.
func (p *Process) Transport() *transport.HTTP { return p.port }

// Probe asks a machine whether it is ready.
func (p *Process) Probe(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.port.Base+"/ready", nil)
	if err != nil {
		return false
	}
	a, err := p.port.Client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	return a.StatusCode == http.StatusOK
}

const logTailBytes = 600

// logContents gives what a machine has logged in all its runs.
func (p *Process) logContents() []byte {
	b, _ := os.ReadFile(filepath.Join(p.dir, p.Name+".log"))
	return b
}
