// Package fleet runs deployments as real processes on loopback, for tests only; no node starts a
// process.
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
	"strings"
	"sync"
	"syscall"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/settings"
	"postjunction/internal/testing/sim"
	"postjunction/internal/testing/transport"
)

// Site is a deployment.
type Site struct {
	Zones, Control, Access, Stores int
	// RoundTrip is how far two zones are from each other, there and back.
	RoundTrip time.Duration
}

// Sites are the deployments of the brief, and a small one.
var Sites = map[string]Site{
	"small":       {Zones: 3, Control: 3, Access: 2, Stores: 3, RoundTrip: 500 * time.Microsecond},
	"armor":       {Zones: 3, Control: 3, Access: 7, Stores: 3, RoundTrip: 500 * time.Microsecond},
	"traductores": {Zones: 4, Control: 4, Access: 6, Stores: 4, RoundTrip: 1500 * time.Microsecond},
}

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

// Fleet is a deployment on this machine.
type Fleet struct {
	Processes  []*Process
	byName     map[string]*Process
	Relay      *Relay
	callers    *callers
	addCallers func(l sim.Load, seed uint64, prefix string)
	busy       map[string]bool
	mu         sync.Mutex
	ready      map[string]bool
}

const (
	portsFrom = 12000
	portsTo   = 30000
)

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

// New writes the settings of a site's machines under dir. With base 0 the ports are free ones, else
// callers' ports count up from base and peers' ports from base+100. Unless direct, a relay stands
// between the machines.
func New(bin, dir string, s Site, base int, direct bool, edit func(*settings.Options)) (*Fleet, error) {
	f := &Fleet{byName: map[string]*Process{}, ready: map[string]bool{}, Relay: newRelay(s.RoundTrip)}
	var seeds []string
	k := 0
	add := func(kind, disk string, n int) error {
		for i := range n {
			k++
			o := settings.Default()
			o.Name, o.Zone, o.Disk = fmt.Sprintf("%s%d", kind, i+1), fmt.Sprintf("z%d", i%s.Zones+1), disk
			o.Listen, o.PeerListen = fmt.Sprintf("127.0.0.1:%d", base+k), fmt.Sprintf("127.0.0.1:%d", base+100+k)
			if base == 0 {
				var err error
				if o.Listen, err = freePort(); err != nil {
					return err
				}
				if o.PeerListen, err = freePort(); err != nil {
					return err
				}
			}
			if disk != settings.DiskNone {
				o.DataDir = filepath.Join(dir, o.Name)
			}
			var err error
			if !direct {
				if o.PeerAddress, err = f.Relay.serve(o.Name, o.Zone, o.PeerListen); err != nil {
					return err
				}
			}
			if disk == settings.DiskControl && len(seeds) < 3 {
				seeds = append(seeds, o.DialAddress())
			}
			if edit != nil {
				edit(&o)
			}
			t := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			p := &Process{Name: o.Name, Opts: o, bin: bin, dir: dir, file: filepath.Join(dir, o.Name+".json"),
				port: &transport.HTTP{Base: "http://" + o.Listen, Client: &http.Client{Transport: t}}}
			f.Processes = append(f.Processes, p)
			f.byName[o.Name] = p
		}
		return nil
	}
	for _, x := range []struct {
		kind, disk string
		n          int
	}{{"c", settings.DiskControl, s.Control}, {"a", settings.DiskNone, s.Access}, {"s", settings.DiskStorage, s.Stores}} {
		if err := add(x.kind, x.disk, x.n); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "folder %s", dir)
	}
	for _, p := range f.Processes {
		p.Opts.Seeds = seeds
		if err := p.Write(p.Opts); err != nil {
			return nil, err
		}
	}
	return f, nil
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
func (p *Process) Port() *transport.HTTP { return p.port }

// Get finds a machine.
func (f *Fleet) Get(n string) *Process { return f.byName[n] }

// Start starts all machines.
func (f *Fleet) Start() error {
	for _, p := range f.Processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all machines.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, p := range f.Processes {
		wg.Go(func() {
			p.Signal(syscall.SIGCONT, false)
			p.Signal(syscall.SIGTERM, true)
		})
	}
	wg.Wait()
	f.Relay.close()
}

// reserve takes a machine for a fault, unless another one has it.
func (f *Fleet) reserve(n string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy == nil {
		f.busy = map[string]bool{}
	}
	if f.busy[n] {
		return false
	}
	f.busy[n] = true
	return true
}

func (f *Fleet) release(n string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, n)
}

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

// Watch asks every machine once a second whether it is ready, as the platform does.
func (f *Fleet) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, p := range f.Processes {
			wg.Go(func() {
				ok := p.Probe(ctx)
				f.mu.Lock()
				f.ready[p.Name] = ok
				f.mu.Unlock()
			})
		}
		wg.Wait()
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// AllReady tells whether every machine answered that it is ready.
func (f *Fleet) AllReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, ok := range f.ready {
		if ok {
			n++
		}
	}
	return n == len(f.Processes)
}

// unready names the machines that are not, each with the end of its log.
func (f *Fleet) unready() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := ""
	for _, p := range f.Processes {
		if !f.ready[p.Name] {
			b := p.logContents()
			s += fmt.Sprintf("\n%s: %s", p.Name, b[max(0, len(b)-logTailBytes):])
		}
	}
	return s
}

const logTailBytes = 600

// logContents gives what a machine has logged in all its runs.
func (p *Process) logContents() []byte {
	b, _ := os.ReadFile(filepath.Join(p.dir, p.Name+".log"))
	return b
}

// Ports gives the access machines of a zone that are ready, or of any zone when none is.
func (f *Fleet) Ports(zone string) []transport.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []transport.Transport
	for _, p := range f.Processes {
		if !f.ready[p.Name] || strings.HasPrefix(p.Name, "s") {
			continue
		}
		far = append(far, p.port)
		if p.Opts.Zone == zone {
			near = append(near, p.port)
		}
	}
	if len(near) > 0 {
		return near
	}
	if len(far) > 0 {
		return far
	}
	for _, p := range f.Processes {
		far = append(far, p.port)
	}
	return far
}
