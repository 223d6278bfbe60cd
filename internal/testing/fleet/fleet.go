// Package fleet runs deployments as real processes on loopback. It is for tests only: no node
// starts a process.
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
	// RoundTrip is the round-trip time between two zones.
	RoundTrip time.Duration
}

// Sites are the deployments that docs/brief.md describes, and a small one.
var Sites = map[string]Site{
	"small":       {Zones: 3, Control: 3, Access: 2, Stores: 3, RoundTrip: 500 * time.Microsecond},
	"armor":       {Zones: 3, Control: 3, Access: 7, Stores: 3, RoundTrip: 500 * time.Microsecond},
	"traductores": {Zones: 4, Control: 4, Access: 6, Stores: 4, RoundTrip: 1500 * time.Microsecond},
}

// Fleet is a deployment on this host.
type Fleet struct {
	Processes  []*Process
	byName     map[string]*Process
	Relay      *Relay
	callers    *callers
	addCallers func(l sim.Load, seed uint64, prefix string)
	busy       map[string]bool
	// mu guards busy and ready.
	mu    sync.Mutex
	ready map[string]bool
}

// New writes the settings of a site's machines under dir. If base is 0, free ports are chosen.
// Otherwise the ports for clients count up from base, and those for peers from base+100. Unless
// direct is set, connections between the machines go through a relay.
func New(bin, dir string, site Site, base int, direct bool, edit func(*settings.Options)) (*Fleet, error) {
	fleet := &Fleet{byName: map[string]*Process{}, ready: map[string]bool{}, Relay: newRelay(site.RoundTrip)}
	var seeds []string
	created := 0
	add := func(kind, disk string, machineCount int) error {
		for i := range machineCount {
			created++
			options := settings.Default()
			options.Name, options.Zone, options.Disk = fmt.Sprintf("%s%d", kind, i+1),
				fmt.Sprintf("z%d", i%site.Zones+1), disk
			options.Listen, options.PeerListen = fmt.Sprintf("127.0.0.1:%d", base+created),
				fmt.Sprintf("127.0.0.1:%d", base+100+created)
			if base == 0 {
				var err error
				if options.Listen, err = freePort(); err != nil {
					return err
				}
				if options.PeerListen, err = freePort(); err != nil {
					return err
				}
			}
			if disk != settings.DiskNone {
				options.DataDir = filepath.Join(dir, options.Name)
			}
			var err error
			if !direct {
				if options.PeerAddress, err = fleet.Relay.serve(options.Name, options.Zone,
					options.PeerListen); err != nil {
					return err
				}
			}
			if disk == settings.DiskControl && len(seeds) < 3 {
				seeds = append(seeds, options.DialAddress())
			}
			if edit != nil {
				edit(&options)
			}
			httpTransport := &http.Transport{MaxIdleConnsPerHost: 256,
				DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
			process := &Process{Name: options.Name, Opts: options, bin: bin, dir: dir,
				file: filepath.Join(dir, options.Name+".json"),
				transport: &transport.HTTP{Base: "http://" + options.Listen,
					Client: &http.Client{Transport: httpTransport}}}
			fleet.Processes = append(fleet.Processes, process)
			fleet.byName[options.Name] = process
		}
		return nil
	}
	for _, group := range []struct {
		kind, disk string
		count      int
	}{{"c", settings.DiskControl, site.Control}, {"a", settings.DiskNone, site.Access},
		{"s", settings.DiskStorage, site.Stores}} {
		if err := add(group.kind, group.disk, group.count); err != nil {
			return nil, err
		}
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, apierror.Wrap(apierror.Usage, err, "folder %s", dir)
	}
	for _, process := range fleet.Processes {
		process.Opts.Seeds = seeds
		if err := process.Write(process.Opts); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// Get returns the machine with a name.
func (f *Fleet) Get(name string) *Process { return f.byName[name] }

// Start starts all machines.
func (f *Fleet) Start() error {
	for _, process := range f.Processes {
		if err := process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Stop ends all machines.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, process := range f.Processes {
		wg.Go(func() {
			process.Signal(syscall.SIGCONT, false)
			process.Signal(syscall.SIGTERM, true)
		})
	}
	wg.Wait()
	f.Relay.close()
}

// reserve reserves a machine for a fault. It reports false if another fault has it.
func (f *Fleet) reserve(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy == nil {
		f.busy = map[string]bool{}
	}
	if f.busy[name] {
		return false
	}
	f.busy[name] = true
	return true
}

func (f *Fleet) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, name)
}

// Watch asks every machine once a second whether it is ready, as the users' platform does.
func (f *Fleet) Watch(ctx context.Context) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for _, process := range f.Processes {
			wg.Go(func() {
				ok := process.Probe(ctx)
				f.mu.Lock()
				f.ready[process.Name] = ok
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

// AllReady reports whether every machine last answered that it is ready.
func (f *Fleet) AllReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ready := 0
	for _, ok := range f.ready {
		if ok {
			ready++
		}
	}
	return ready == len(f.Processes)
}

// unready names the machines that are not ready, each with the end of its log.
func (f *Fleet) unready() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	logs := ""
	for _, process := range f.Processes {
		if !f.ready[process.Name] {
			content := process.logContents()
			logs += fmt.Sprintf("\n%s: %s", process.Name, content[max(0, len(content)-logTailBytes):])
		}
	}
	return logs
}

// Transports returns transports to the ready machines of a zone that are not storage nodes. If
// there are none, it returns those of any zone, and if there are none either, those of all
// machines.
func (f *Fleet) Transports(zone string) []transport.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	var inZone, ready []transport.Transport
	for _, process := range f.Processes {
		if !f.ready[process.Name] || strings.HasPrefix(process.Name, "s") {
			continue
		}
		ready = append(ready, process.transport)
		if process.Opts.Zone == zone {
			inZone = append(inZone, process.transport)
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	if len(ready) > 0 {
		return ready
	}
	for _, process := range f.Processes {
		ready = append(ready, process.transport)
	}
	return ready
}
