// Package fleet runs deployments as real processes on loopback, for tests only; no node starts a
// process.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
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

// Ports gives the access machines of a zone that are ready, or of any zone when none is.
func (f *Fleet) Transports(zone string) []transport.Transport {
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
