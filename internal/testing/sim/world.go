package sim

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/disk/memlog"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/httpclient"
)

// Site describes a deployment: how many machines of each kind there are, in how many zones.
type Site struct {
	Zones, Control, Access, Storage int
	Latency                         time.Duration
	Timing                          settings.Timing
	Routine, Urgent                 int
	// BootstrapBy is the setting of that name, self when empty. With seeds, ControlSeeds of the
	// three seeds are control nodes and the others are access nodes.
	BootstrapBy  string
	ControlSeeds int
	// ToleratedLosses is the setting of that name, 1 when zero.
	ToleratedLosses int
	// Spares names machines that each have one spare, which is absent until it is added: s2b for
	// s2.
	Spares []string
	// Sync is how long a disk takes to sync; zero means syncDuration.
	Sync time.Duration
	// DiskMB limits the disks of some machines, in MiB.
	DiskMB map[string]int
}

// Armor and Traductores are two of the users' deployments, simulated with fewer access machines.
var (
	Armor = Site{Zones: 3, Control: 3, Access: 1, Storage: 3, Latency: 500 * time.Microsecond,
		Timing: settings.DefaultTiming, Routine: 4, Urgent: 2}
	Traductores = Site{Zones: 4, Control: 4, Access: 1, Storage: 4, Latency: 1500 * time.Microsecond,
		Timing: settings.DefaultTiming, Routine: 4, Urgent: 2}
)

// World is a simulated fleet with its clients.
type World struct {
	Site     Site
	Seed     uint64
	History  *history.History
	Machines map[string]*Machine
	Names    []string

	ctx    context.Context
	cancel context.CancelFunc
	logger hclog.Logger
	// mu guards rng, listeners, cuts, lossRate, pauses, intercept, callsByService, trafficByPath,
	// callsByMachine, linkDraws and httpClients.
	mu             sync.Mutex
	rng            *rand.Rand
	listeners      map[string]listener
	cuts           map[[2]string]bool
	lossRate       float64
	pauses         []*pausedCalls
	intercept      func(CallPoint) CallFault
	callsByService map[string]int
	trafficByPath  map[string]Traffic
	callsByMachine map[[2]string]int
	wg             sync.WaitGroup
	sendCtx        context.Context
	stopSending    context.CancelFunc
	load           Load
	httpClients    []*httpclient.Client
	linkDraws      map[[2]string]uint64
}

// New makes a world. It must be called inside a synctest bubble.
func New(site Site, seed uint64, log io.Writer) *World {
	w := &World{Site: site, Seed: seed, History: history.New(), Machines: map[string]*Machine{},
		listeners: map[string]listener{}, cuts: map[[2]string]bool{}, callsByService: map[string]int{},
		trafficByPath: map[string]Traffic{}, callsByMachine: map[[2]string]int{}, linkDraws: map[[2]string]uint64{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	w.History.Bound = site.Timing.Recovery
	w.ctx, w.cancel = context.WithCancel(context.Background())
	level := hclog.Off
	if log != nil {
		level = hclog.Debug
	} else {
		log = io.Discard
	}
	w.logger = hclog.New(&hclog.LoggerOptions{Name: "sim", Level: level, Output: log, TimeFn: time.Now})
	var seeds []string
	add := func(kind, disk string, n int) {
		for i := range n {
			opts := w.newSettings(fmt.Sprintf("%s%d", kind, i+1), fmt.Sprintf("z%d", i%site.Zones+1), disk)
			name := opts.Name
			// The first three control nodes are the seeds. In a fleet that its seeds bootstrap, only
			// the first ControlSeeds control nodes are, and access nodes are the rest of the three.
			if disk == settings.DiskControl && (site.BootstrapBy != settings.BootstrapSeeds || i < site.ControlSeeds) &&
				len(seeds) < 3 || site.BootstrapBy == settings.BootstrapSeeds && disk == settings.DiskNone && len(seeds) < 3 {
				seeds = append(seeds, opts.PeerListen)
			}
			w.Machines[name] = &Machine{world: w, Opts: opts, Disk: memlog.New(), resetCh: make(chan struct{})}
			w.Names = append(w.Names, name)
		}
	}
	add("c", settings.DiskControl, site.Control)
	add("s", settings.DiskStorage, site.Storage)
	add("a", settings.DiskNone, site.Access)
	for _, n := range site.Spares {
		w.createSpare(n)
	}
	for _, m := range w.Machines {
		m.Opts.Seeds = seeds
	}
	return w
}

func (w *World) newSettings(name, zone, disk string) settings.Options {
	site, number := w.Site, len(w.Names)+1
	opts := settings.Default()
	opts.Name, opts.Zone, opts.Disk, opts.DataDir = name, zone, disk, "data"
	opts.Listen, opts.PeerListen = fmt.Sprintf("127.0.0.1:%d", 20000+number), fmt.Sprintf("127.0.0.1:%d", 30000+number)
	opts.Keeping, opts.Spread, opts.Recovery = settings.Duration(site.Timing.Keeping),
		settings.Duration(site.Timing.Spread), settings.Duration(site.Timing.Recovery)
	opts.RoutinePartitions, opts.UrgentPartitions = site.Routine, site.Urgent
	if site.BootstrapBy != "" {
		opts.BootstrapBy = site.BootstrapBy
	}
	opts.DiskMB = site.DiskMB[name]
	if site.ToleratedLosses > 0 {
		opts.ToleratedLosses = site.ToleratedLosses
	}
	if disk == settings.DiskNone {
		opts.ClientListen = fmt.Sprintf("127.0.0.1:%d", 25000+number)
	}
	return opts
}

// createSpare makes a machine like an existing one, with an empty disk and its own name and
// address. It never bootstraps a fleet and is absent until it is added.
func (w *World) createSpare(original string) {
	existing := w.Machines[original].Opts
	opts := w.newSettings(original+"b", existing.Zone, existing.Disk)
	opts.BootstrapBy = settings.BootstrapNever
	w.Machines[opts.Name] = &Machine{world: w, Opts: opts, Disk: memlog.New(), resetCh: make(chan struct{}), removed: true}
	w.Names = append(w.Names, opts.Name)
}

// Remove removes a machine for good. If graceful, it terminates the machine's process first.
func (w *World) Remove(name string, graceful bool) {
	if graceful {
		w.Terminate(name)
	}
	w.LosePower(name, false)
	w.Machines[name].setRemoved(true)
}

// Add adds a spare machine and starts it.
func (w *World) Add(name string) error {
	w.Machines[name].setRemoved(false)
	return w.Start(name)
}

// Present returns the machines that are not removed.
func (w *World) Present() []string {
	return slices.DeleteFunc(slices.Clone(w.Names), func(n string) bool { return w.Machines[n].isRemoved() })
}

// presentOf returns the machines with a kind of disk that are not removed.
func (w *World) presentOf(disk string) []string {
	return slices.DeleteFunc(w.Present(), func(n string) bool { return w.Machines[n].Opts.Disk != disk })
}

// Logger returns standard error when PJ_SIM_LOG is set, nil otherwise.
func Logger() io.Writer {
	if os.Getenv("PJ_SIM_LOG") != "" {
		return os.Stderr
	}
	return nil
}

func (w *World) randomFloat() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// Int returns a random number below n from the seeded generator.
func (w *World) Int(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// Close stops the world. It waits until calls that outlive their callers have reached their
// deadlines.
func (w *World) Close() {
	w.cancel()
	for _, m := range w.Machines {
		m.kill()
	}
	w.wg.Wait()
	time.Sleep(w.Site.Timing.Recovery)
}
