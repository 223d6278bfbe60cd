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

// Site says how many machines of each kind stand in how many zones.
type Site struct {
	Zones, Control, Access, Stores int
	Latency                        time.Duration
	Timing                         settings.Timing
	Routine, Urgent                int
	// BootstrapBy is the setting of that name, self when empty. With seeds, Known of the three
	// seeds are control nodes, the others access nodes.
	BootstrapBy  string
	ControlSeeds int
	// ToleratedLosses is the setting of that name, 1 when zero.
	ToleratedLosses int
	// Spares name machines, of each of which there is one more that is not there until it is added:
	// s2b for s2.
	Spares []string
	// Sync is how long a disk takes to sync, a fast disk's time when zero.
	Sync time.Duration
	// DiskMB bounds the disks of some machines, in MiB.
	DiskMB map[string]int
}

// Armor and Traductores are the two deployments with fewer access machines.
var (
	Armor = Site{Zones: 3, Control: 3, Access: 1, Stores: 3, Latency: 500 * time.Microsecond,
		Timing: settings.DefaultTiming, Routine: 4, Urgent: 2}
	Traductores = Site{Zones: 4, Control: 4, Access: 1, Stores: 4, Latency: 1500 * time.Microsecond,
		Timing: settings.DefaultTiming, Routine: 4, Urgent: 2}
)

// World is a simulated fleet with its callers.
type World struct {
	Site     Site
	Seed     uint64
	History  *history.History
	Machines map[string]*Machine
	Names    []string

	ctx       context.Context
	stop      context.CancelFunc
	logger    hclog.Logger
	mu        sync.Mutex
	rng       *rand.Rand
	addrs     map[string]served
	cuts      map[[2]string]bool
	loss      float64
	pauses    []*pausedCalls
	intercept func(Point) CallFault
	calls     map[string]int
	flows     map[string]Flow
	parts     map[[2]string]int
	wg        sync.WaitGroup
	sending   context.Context
	sends     context.CancelFunc
	load      Load
	callers   []*httpclient.Client
	hops      map[[2]string]uint64
}

// New makes a world; it must run inside a bubble.
func New(s Site, seed uint64, log io.Writer) *World {
	w := &World{Site: s, Seed: seed, History: history.New(), Machines: map[string]*Machine{},
		addrs: map[string]served{}, cuts: map[[2]string]bool{}, calls: map[string]int{}, flows: map[string]Flow{},
		parts: map[[2]string]int{}, hops: map[[2]string]uint64{}, rng: rand.New(rand.NewPCG(seed, 1))}
	w.History.Bound = s.Timing.Recovery
	w.ctx, w.stop = context.WithCancel(context.Background())
	lv := hclog.Off
	if log != nil {
		lv = hclog.Debug
	} else {
		log = io.Discard
	}
	w.logger = hclog.New(&hclog.LoggerOptions{Name: "sim", Level: lv, Output: log, TimeFn: time.Now})
	var seeds []string
	add := func(kind, disk string, n int) {
		for i := range n {
			o := w.newSettings(fmt.Sprintf("%s%d", kind, i+1), fmt.Sprintf("z%d", i%s.Zones+1), disk)
			name := o.Name
			if disk == settings.DiskControl && (s.BootstrapBy != settings.BootstrapSeeds || i < s.ControlSeeds) &&
				len(seeds) < 3 || s.BootstrapBy == settings.BootstrapSeeds && disk == settings.DiskNone && len(seeds) < 3 {
				seeds = append(seeds, o.PeerListen)
			}
			w.Machines[name] = &Machine{w: w, Opts: o, Disk: memlog.New(), broken: make(chan struct{})}
			w.Names = append(w.Names, name)
		}
	}
	add("c", settings.DiskControl, s.Control)
	add("s", settings.DiskStorage, s.Stores)
	add("a", settings.DiskNone, s.Access)
	for _, n := range s.Spares {
		w.spare(n)
	}
	for _, m := range w.Machines {
		m.Opts.Seeds = seeds
	}
	return w
}

func (w *World) newSettings(name, zone, disk string) settings.Options {
	s, k := w.Site, len(w.Names)+1
	o := settings.Default()
	o.Name, o.Zone, o.Disk, o.DataDir = name, zone, disk, "data"
	o.Listen, o.PeerListen = fmt.Sprintf("127.0.0.1:%d", 20000+k), fmt.Sprintf("127.0.0.1:%d", 30000+k)
	o.Keeping, o.Spread, o.Recovery = settings.Duration(s.Timing.Keeping), settings.Duration(s.Timing.Spread),
		settings.Duration(s.Timing.Recovery)
	o.RoutinePartitions, o.UrgentPartitions = s.Routine, s.Urgent
	if s.BootstrapBy != "" {
		o.BootstrapBy = s.BootstrapBy
	}
	o.DiskMB = s.DiskMB[name]
	if s.ToleratedLosses > 0 {
		o.ToleratedLosses = s.ToleratedLosses
	}
	if disk == settings.DiskNone {
		o.ClientListen = fmt.Sprintf("127.0.0.1:%d", 25000+k)
	}
	return o
}

// spare makes a machine with an empty disk, a name and an address of its own, like one that stands
// there; it founds nothing and is not there yet.
func (w *World) spare(like string) {
	x := w.Machines[like].Opts
	o := w.newSettings(like+"b", x.Zone, x.Disk)
	o.BootstrapBy = settings.BootstrapNever
	w.Machines[o.Name] = &Machine{w: w, Opts: o, Disk: memlog.New(), broken: make(chan struct{}), away: true}
	w.Names = append(w.Names, o.Name)
}

// Remove takes a machine away for good, stopped in good order or not.
func (w *World) Remove(n string, asked bool) {
	if asked {
		w.Terminate(n)
	}
	w.LosePower(n, false)
	w.Machines[n].setAway(true)
}

// Add brings a spare machine in and starts it.
func (w *World) Add(n string) error {
	w.Machines[n].setAway(false)
	return w.Start(n)
}

// Present lists the machines that were not taken away.
func (w *World) Present() []string {
	return slices.DeleteFunc(slices.Clone(w.Names), func(n string) bool { return w.Machines[n].isGone() })
}

// Logger gives a log for stderr when PJ_SIM_LOG is set.
func Logger() io.Writer {
	if os.Getenv("PJ_SIM_LOG") != "" {
		return os.Stderr
	}
	return nil
}

func (w *World) float() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64()
}

// Int draws a seeded number.
func (w *World) Int(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

// Close ends the world, and waits until calls that outlive their askers have run out of time.
func (w *World) Close() {
	w.stop()
	for _, m := range w.Machines {
		m.kill()
	}
	w.wg.Wait()
	time.Sleep(w.Site.Timing.Recovery)
}
