package sim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/configuration"
	"postjunction/internal/disk/memlog"
	"postjunction/internal/node"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/settings"
	"postjunction/internal/testing/history"
	"postjunction/internal/testing/httpclient"
	"postjunction/internal/testing/simclient"
	"postjunction/internal/testing/transport"
)

var errGone = apierror.New(apierror.Stopped, "the process is gone")

// Site says how many machines of each kind stand in how many zones.
type Site struct {
	Zones, Control, Access, Stores int
	Latency                        time.Duration
	Bounds                         settings.Timing
	Routine, Urgent                int
	// Founding is the setting of that name, self when empty. With seeds, Known of the three seeds are control nodes, the others access nodes.
	Founding string
	Known    int
	// Losses is the setting of that name, 1 when zero.
	Losses int
	// Spares name machines, of each of which there is one more that is not there until it is added: s2b for s2.
	Spares []string
	// Sync is how long a disk takes to sync, a fast disk's time when zero.
	Sync time.Duration
	// Room bounds the disks of some machines, in MiB.
	Room map[string]int
}

// Armor and Traductores are the two deployments with fewer access machines.
var (
	Armor       = Site{Zones: 3, Control: 3, Access: 1, Stores: 3, Latency: 500 * time.Microsecond, Bounds: settings.DefaultTiming, Routine: 4, Urgent: 2}
	Traductores = Site{Zones: 4, Control: 4, Access: 1, Stores: 4, Latency: 1500 * time.Microsecond, Bounds: settings.DefaultTiming, Routine: 4, Urgent: 2}
)

// World is a simulated fleet with its callers.
type World struct {
	Site     Site
	Seed     uint64
	History  *history.History
	Machines map[string]*Machine
	Names    []string

	ctx     context.Context
	stop    context.CancelFunc
	logger  hclog.Logger
	mu      sync.Mutex
	rng     *rand.Rand
	addrs   map[string]served
	cuts    map[[2]string]bool
	loss    float64
	holds   []*hold
	meddle  func(Point) Meddle
	calls   map[string]int
	flows   map[string]Flow
	parts   map[[2]string]int
	wg      sync.WaitGroup
	sending context.Context
	sends   context.CancelFunc
	load    Load
	callers []*httpclient.Caller
	hops    map[[2]string]uint64
}

type served struct {
	m   *Machine
	run int
	h   http.Handler
}

// New makes a world; it must run inside a bubble.
func New(s Site, seed uint64, log io.Writer) *World {
	w := &World{Site: s, Seed: seed, History: history.New(), Machines: map[string]*Machine{}, addrs: map[string]served{}, cuts: map[[2]string]bool{}, calls: map[string]int{}, flows: map[string]Flow{}, parts: map[[2]string]int{}, hops: map[[2]string]uint64{}, rng: rand.New(rand.NewPCG(seed, 1))}
	w.History.Bound = s.Bounds.Recovery
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
			o := w.opts(fmt.Sprintf("%s%d", kind, i+1), fmt.Sprintf("z%d", i%s.Zones+1), disk)
			name := o.Name
			if disk == settings.DiskControl && (s.Founding != settings.BootstrapSeeds || i < s.Known) && len(seeds) < 3 || s.Founding == settings.BootstrapSeeds && disk == settings.DiskNone && len(seeds) < 3 {
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

func (w *World) opts(name, zone, disk string) settings.Options {
	s, k := w.Site, len(w.Names)+1
	o := settings.Default()
	o.Name, o.Zone, o.Disk, o.DataDir = name, zone, disk, "data"
	o.Listen, o.PeerListen = fmt.Sprintf("127.0.0.1:%d", 20000+k), fmt.Sprintf("127.0.0.1:%d", 30000+k)
	o.Keeping, o.Spread, o.Recovery = settings.Duration(s.Bounds.Keeping), settings.Duration(s.Bounds.Spread), settings.Duration(s.Bounds.Recovery)
	o.RoutinePartitions, o.UrgentPartitions = s.Routine, s.Urgent
	if s.Founding != "" {
		o.BootstrapBy = s.Founding
	}
	o.DiskMB = s.Room[name]
	if s.Losses > 0 {
		o.ToleratedLosses = s.Losses
	}
	if disk == settings.DiskNone {
		o.ClientListen = fmt.Sprintf("127.0.0.1:%d", 25000+k)
	}
	return o
}

// spare makes a machine with an empty disk, a name and an address of its own, like one that stands there; it founds nothing and is not there yet.
func (w *World) spare(like string) {
	x := w.Machines[like].Opts
	o := w.opts(like+"b", x.Zone, x.Disk)
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
	w.Machines[n].leave(true)
}

// Add brings a spare machine in and starts it.
func (w *World) Add(n string) error {
	w.Machines[n].leave(false)
	return w.Start(n)
}

// There lists the machines that were not taken away.
func (w *World) There() []string {
	return slices.DeleteFunc(slices.Clone(w.Names), func(n string) bool { return w.Machines[n].gone() })
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

func (w *World) serve(addr string, m *Machine, run int, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addrs[addr] = served{m, run, h}
}

func (w *World) at(addr string) (served, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.addrs[addr]
	return s, ok
}

func (w *World) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}] || w.cuts[[2]string{a, "*"}] || w.cuts[[2]string{"*", b}]
}

type endpoint struct {
	w   *World
	m   *Machine
	run int
}

const retransmit = 200 * time.Millisecond

// draw gives the next number of a link, which depends only on the seed, the link and how much it has carried.
func (w *World) draw(from, to *Machine) float64 {
	k := [2]string{from.Opts.Name, to.Opts.Name}
	w.mu.Lock()
	w.hops[k]++
	n := w.hops[k]
	w.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %s %d", w.Seed, k[0], k[1], n)
	return rand.New(rand.NewPCG(h.Sum64(), n)).Float64()
}

func (e *endpoint) hop(ctx context.Context, from, to *Machine) error {
	w := e.w
	if w.isCut(from.Opts.Name, to.Opts.Name) && from != to {
		<-ctx.Done()
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "cut off")
	}
	d := w.Site.Latency/2 + time.Duration(w.draw(from, to)*float64(w.Site.Latency)/4)
	from.mu.Lock()
	d += from.slow
	from.mu.Unlock()
	w.mu.Lock()
	loss := w.loss
	w.mu.Unlock()
	for k := retransmit; w.draw(from, to) < loss; k *= 2 {
		d += k
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "in flight")
	}
}

// hush waits as a call to a machine without power does: nothing is heard until the machine is back and resets the connection.
func hush(ctx context.Context, broken <-chan struct{}, m *Machine) error {
	select {
	case <-ctx.Done():
		return apierror.WithCause(apierror.Unreachable, ctx.Err(), "nothing is heard from %s", m.Opts.Name)
	case <-broken:
		return apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset", m.Opts.Name)
	}
}

func (e *endpoint) alive() bool {
	_, run := e.m.node()
	return run == e.run
}

// Do carries a call to another machine and its answer back.
func (e *endpoint) Do(r *http.Request) (*http.Response, error) {
	e.m.gate()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	e.w.count(r.URL.Path, len(b))
	asked := time.Now()
	s, ok := e.w.at(r.URL.Host)
	if !ok || !e.alive() {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "nobody listens at %s", r.URL.Host)
	}
	ctx := r.Context()
	at := Point{From: e.m.Opts.Name, To: s.m.Opts.Name, Path: r.URL.Path, Stage: Asking, Body: b}
	e.w.held(ctx, at)
	again := e.w.meddled(ctx, at)
	e.w.took(at)
	if err := e.hop(ctx, e.m, s.m); err != nil {
		return nil, err
	}
	broken := s.m.reset()
	if s.m.silent() {
		return nil, hush(ctx, broken, s.m)
	}
	if _, run := s.m.node(); run != s.run {
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNREFUSED, "connection refused by %s", s.m.Opts.Name)
	}
	type ans struct {
		r   *http.Response
		err error
	}
	c := make(chan ans, 1)
	serve := func(ctx context.Context) *httptest.ResponseRecorder {
		q, _ := http.NewRequestWithContext(ctx, r.Method, r.URL.String(), bytes.NewReader(b))
		q.Header = r.Header.Clone()
		q.ContentLength = int64(len(b))
		rec := httptest.NewRecorder()
		s.h.ServeHTTP(rec, q)
		return rec
	}
	if again > 0 {
		go e.again(s, again, serve)
	}
	go func() {
		s.m.gate()
		rec := serve(ctx)
		s.m.gate()
		if _, run := s.m.node(); run != s.run {
			if s.m.silent() {
				c <- ans{nil, hush(ctx, broken, s.m)}
				return
			}
			c <- ans{nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "connection reset by %s", s.m.Opts.Name)}
			return
		}
		at.Stage = Answering
		e.w.held(ctx, at)
		e.w.meddled(ctx, at)
		err := e.hop(ctx, s.m, e.m)
		e.w.flown(r.URL.Path, rec.Body.Len())
		c <- ans{rec.Result(), err}
	}()
	select {
	case <-e.m.reset():
		return nil, apierror.New(apierror.Unreachable, "the connections of %s were reset", e.m.Opts.Name)
	case <-broken:
		return nil, apierror.WithCause(apierror.Unreachable, syscall.ECONNRESET, "the connections of %s were reset", s.m.Opts.Name)
	case a := <-c:
		e.m.gate()
		if !e.alive() {
			return nil, errGone
		}
		if a.err == nil {
			e.w.vow(r.URL.Path, b, a.r, asked)
		}
		return a.r, a.err
	case <-ctx.Done():
		e.m.gate()
		return nil, apierror.WithCause(apierror.Unreachable, ctx.Err(), "no answer from %s", s.m.Opts.Name)
	}
}

// again delivers a call a second time, late; nobody hears its answer.
func (e *endpoint) again(s served, late time.Duration, serve func(context.Context) *httptest.ResponseRecorder) {
	if (clock.Real{}).Sleep(e.w.ctx, late) != nil {
		return
	}
	s.m.gate()
	if _, run := s.m.node(); run != s.run {
		return
	}
	cx, stop := context.WithTimeout(e.w.ctx, e.w.Site.Bounds.Recovery)
	defer stop()
	serve(cx)
}

func (w *World) count(path string, n int) {
	part, _, _ := strings.Cut(strings.TrimPrefix(path, "/postjunction."), "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[part]++
	f := w.flows[path]
	w.flows[path] = Flow{f.Calls + 1, f.Bytes + n}
}

func (w *World) flown(path string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[path]
	w.flows[path] = Flow{f.Calls, f.Bytes + n}
}

func (w *World) took(at Point) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.parts[[2]string{at.From, at.Path}]++
	w.parts[[2]string{at.To, at.Path}]++
}

// Parts gives how many calls of a path a machine took part in, asking or asked.
func (w *World) Parts(n, path string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.parts[[2]string{n, path}]
}

// Flow is what a procedure took: calls, and bytes of tasks and answers without what the transport adds.
type Flow struct{ Calls, Bytes int }

// Flows gives what each procedure took between machines.
func (w *World) Flows() map[string]Flow {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.flows)
}

// Calls gives how many calls between machines there were, by part.
func (w *World) Calls() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.calls)
}

func perSecond(a, b map[string]int, secs int) string {
	var ls []string
	all := 0
	for k, n := range b {
		d := (n - a[k]) / secs
		all += d
		ls = append(ls, fmt.Sprintf("%s %d", k, d))
	}
	slices.Sort(ls)
	return fmt.Sprintf("%d calls a second (%s)", all, strings.Join(ls, ", "))
}

// Start starts a machine's process.
func (w *World) Start(names ...string) error {
	for _, n := range names {
		if err := w.Machines[n].start(); err != nil {
			return apierror.Wrap(apierror.Internal, err, "start %s", n)
		}
	}
	return nil
}

// Kill ends a process at once; its disk keeps what was written.
func (w *World) Kill(n string) {
	w.note("kill")
	w.Machines[n].kill()
}

func (w *World) note(what string) { w.History.Disturb(what, time.Now()) }

// LosePower ends a process at once; its disk keeps only what was synced, maybe with a torn tail.
func (w *World) LosePower(n string, torn bool) {
	w.note("power")
	w.Machines[n].darken()
	w.Machines[n].kill()
	w.Machines[n].Disk.LosePower(torn)
}

// Wipe ends a process and empties its disk.
func (w *World) Wipe(n string) {
	w.note("wipe")
	w.Machines[n].kill()
	w.Machines[n].Disk.Wipe()
}

// Reset breaks every connection of a machine, callers' and peers', and leaves its process alone.
func (w *World) Reset(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ports == nil {
		return
	}
	w.note("reset")
	close(m.broken)
	m.broken = make(chan struct{})
	close(m.ports.Gone)
	s := *m.ports
	s.Gone = make(chan struct{})
	m.ports = &s
}

// Move has a share of the callers leave their nodes at once and come back through others, as clients that change zones do.
func (w *World) Move(share float64) {
	w.note("move")
	w.mu.Lock()
	cs := w.callers
	w.mu.Unlock()
	for _, c := range cs {
		if w.float() < share {
			c.Move()
		}
	}
}

// Arrive has more callers attach at once; they stay.
func (w *World) Arrive(n int) {
	w.note("arrive")
	w.mu.Lock()
	k := len(w.callers)
	w.mu.Unlock()
	l := w.load
	l.Callers = n
	w.run(Plan(l, w.Seed+uint64(k), w.Site.Bounds.Spread), fmt.Sprintf("late%d-", k))
}

// ask has a machine's process do something, and gives up after a time, as nothing is heard from a frozen one.
func (w *World) ask(n string, limit time.Duration, f func(ctx context.Context, x *node.Node) error) error {
	x := w.Machines[n].Node()
	if x == nil {
		return apierror.New(apierror.Unreachable, "%s is down", n)
	}
	ctx, stop := context.WithTimeout(w.ctx, limit)
	defer stop()
	c := make(chan error, 1)
	go func() {
		w.Machines[n].gate()
		c <- f(ctx, x)
	}()
	select {
	case err := <-c:
		return err
	case <-ctx.Done():
		return apierror.New(apierror.Unreachable, "%s did not answer", n)
	}
}

func (w *World) emptied(n string) func() bool {
	return func() bool {
		var done atomic.Bool
		for _, k := range w.Names {
			if k[0] == 'c' && !done.Load() {
				_ = w.ask(k, w.Site.Bounds.CallTimeout(), func(ctx context.Context, x *node.Node) error {
					v, err := x.Operators.Client.Read(ctx, decommission.Key)
					if err != nil {
						return err
					}
					l, err := decommission.Parse(v.Body)
					done.Store(err == nil && l[n].Done)
					return err
				})
			}
		}
		return done.Load()
	}
}

// platformPatience is how long the platform waits before it forces a process it asked to stop.
const platformPatience = 6 * time.Second

// Terminate asks a process to stop in good order, and forces it when it has not.
func (w *World) Terminate(n string) {
	m := w.Machines[n]
	if x, _ := m.node(); x != nil {
		w.note("stop")
		done := make(chan struct{})
		go func() {
			x.Stop()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(platformPatience):
		}
		m.kill()
	}
}

// Freeze stops a machine in its tracks, if a process runs on it.
func (w *World) Freeze(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frozen == nil && m.n != nil {
		w.note("freeze")
		m.frozen = make(chan struct{})
	}
}

// Thaw lets a frozen machine go on.
func (w *World) Thaw(n string) {
	m := w.Machines[n]
	m.mu.Lock()
	f := m.frozen
	m.frozen = nil
	m.mu.Unlock()
	if f != nil {
		w.note("thaw")
		close(f)
	}
}

// Slow makes all that a machine sends take longer.
func (w *World) Slow(n string, d time.Duration) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.slow != d {
		w.note("slow")
	}
	m.slow = d
}

// Drag makes a machine's disk take that many times as long to sync, as long as a fast disk does for 0 or 1.
func (w *World) Drag(n string, times int) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drag != times {
		w.note("slow disk")
	}
	m.drag = times
}

// Hang has no sync of a machine's disk end until it is told otherwise. A process that starts there meets the same disk.
func (w *World) Hang(n string, hangs bool) {
	m := w.Machines[n]
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hung != hangs {
		w.note("disk hangs")
	}
	m.hung = hangs
}

// Cut stops what goes from a to b; * stands for all.
func (w *World) Cut(a, b string) {
	w.note("cut")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a, b}] = true
}

// Isolate cuts a machine off both ways.
func (w *World) Isolate(n string) {
	w.Cut(n, "*")
	w.Cut("*", n)
}

// Heal mends all links.
func (w *World) Heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cuts) > 0 || w.loss > 0 {
		w.note("heal")
	}
	w.cuts, w.loss = map[[2]string]bool{}, 0
}

// Lose makes links drop a share of what they carry.
func (w *World) Lose(share float64) {
	w.note("lose packets")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = share
}

// Port gives a machine as callers see it.
func (w *World) Port(n string) transport.Transport {
	return &transport.Direct{Node: w.Machines[n].services, Gate: w.Machines[n].gate}
}

// Ports gives all machines whose process runs, as the platform's balancing would after asking for readiness.
func (w *World) Ports() []transport.Transport {
	var ps []transport.Transport
	for _, n := range w.Names {
		m := w.Machines[n]
		m.mu.Lock()
		ok := m.ports != nil && m.frozen == nil
		s := m.ports
		m.mu.Unlock()
		if ok && s.API.Ready() == nil {
			ps = append(ps, w.Port(n))
		}
	}
	if len(ps) == 0 {
		for _, n := range w.Names {
			ps = append(ps, w.Port(n))
		}
	}
	return ps
}

// Load says how many callers there are and how often they send.
type Load struct {
	Callers, Topics, LiveTopics, Leads int
	// Flood is how many topics nobody follows there are for floods.
	Flood int
	Every time.Duration
	// Rested has no guest stop reading for a while.
	Rested bool
	// Habits changes those of guests; nil for none.
	Habits func(h *simclient.Habits)
}

// Describe writes the description of a load on a base.
func (l Load) Describe(base uint64) []byte {
	list := func(p string, n int) string {
		s := ""
		for i := range n {
			if i > 0 {
				s += ","
			}
			s += fmt.Sprintf(`"%s%d"`, p, i)
		}
		return s
	}
	flood := ""
	if l.Flood > 0 {
		flood = fmt.Sprintf(`,{"name":"flood","kind":"kept","topics":[%s]}`, list("f", l.Flood))
	}
	return []byte(fmt.Sprintf(`{"base":%d,"spaces":[{"name":"kept","kind":"kept","topics":[%s]},{"name":"stop","kind":"kept","urgent":true,"topics":["line"]},{"name":"live","kind":"live","topics":[%s]}%s]}`, base, list("t", l.Topics), list("l", l.LiveTopics), flood))
}

// Numbered makes the description under a number of its operator's own, with its source.
func (l Load) Numbered(base, seq uint64, source string) []byte {
	return []byte(fmt.Sprintf(`{"sequence":%d,"source":%q,%s`, seq, source, l.Describe(base)[1:]))
}

// Callers starts the stand-in callers.
func (w *World) Callers(l Load) {
	w.load = l
	w.sending, w.sends = context.WithCancel(w.ctx)
	w.run(Plan(l, w.Seed, w.Site.Bounds.Spread), "")
}

func (w *World) run(cs []*httpclient.Caller, prefix string) {
	for _, c := range cs {
		c.Name = prefix + c.Name
		c.Clock, c.Ports, c.History = clock.Real{}, w.Ports, w.History
		w.wg.Go(func() { c.Run(w.ctx, w.sending) })
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callers = append(w.callers, cs...)
}

// Plan makes the callers of a load; who sends and follows what depends only on the seed.
func Plan(l Load, seed uint64, spread time.Duration) []*httpclient.Caller {
	rng := rand.New(rand.NewPCG(seed, 2))
	var cs []*httpclient.Caller
	for i := range l.Callers {
		c := &httpclient.Caller{Name: fmt.Sprintf("v%d", i), Every: l.Every, Rand: rand.New(rand.NewPCG(seed, uint64(i)+10)), Spread: spread, Urgent: map[string]bool{}, Live: map[string]bool{}}
		a := i % l.Topics
		c.Follows = []string{fmt.Sprintf("kept/t%d", a), fmt.Sprintf("kept/t%d", (a+1+rng.IntN(max(1, l.Topics-1)))%l.Topics)}
		c.Sends = []string{fmt.Sprintf("kept/t%d", a)}
		if l.LiveTopics > 0 && i < 2*l.LiveTopics {
			t := fmt.Sprintf("live/l%d", i%l.LiveTopics)
			c.Live[t] = true
			c.Follows, c.Sends = append(c.Follows, t), append(c.Sends, t)
		}
		if i < 2*l.Leads {
			c.Urgent["stop/line"] = true
			c.Follows = append(c.Follows, "stop/line")
			if i < l.Leads {
				c.Sends = append(c.Sends, "stop/line")
			}
		}
		cs = append(cs, c)
	}
	return cs
}

// Settle waits until some node serves a description, at most limit.
func (w *World) Settle(limit time.Duration) error {
	return w.Until(limit, "the fleet serves", func() bool {
		for _, m := range w.Machines {
			if s := m.services(); !m.gone() && (s == nil || s.API.Ready() != nil) {
				return false
			}
		}
		return true
	})
}

// Until waits for a condition.
func (w *World) Until(limit time.Duration, what string, f func() bool) error {
	end := time.Now().Add(limit)
	for !f() {
		if time.Now().After(end) {
			return apierror.New(apierror.Internal, "not within %s: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// Quiet stops the senders and waits until callers have caught up.
func (w *World) Quiet(wait time.Duration) time.Time {
	w.sends()
	at := time.Now()
	time.Sleep(wait)
	return at
}

// Put puts a description through a machine and notes the outcome.
func (w *World) Put(n string, doc []byte) (uint64, error) {
	ctx, stop := context.WithTimeout(w.ctx, w.Site.Bounds.Recovery)
	defer stop()
	end := w.History.Begin(history.WaitPut, n, time.Now())
	seq, err := w.Port(n).Put(ctx, doc)
	end(time.Now())
	if err == nil {
		var d configuration.Config
		_ = json.Unmarshal(doc, &d)
		w.History.Accept(d.Base, seq, string(doc), time.Now())
	}
	return seq, err
}

// Watch notes every heartbeat which description each node serves.
func (w *World) Watch() {
	w.wg.Go(func() {
		for w.ctx.Err() == nil {
			for _, n := range w.Names {
				m := w.Machines[n]
				m.mu.Lock()
				s, run, froz := m.ports, m.run, m.frozen != nil
				m.mu.Unlock()
				if s == nil || froz {
					continue
				}
				b := s.API.Operators.Store
				for p := range b.VoterSet().Layout.PartitionCount() {
					for _, x := range b.Record(p).History {
						w.History.Own(p, x.Epoch, x.Leader)
					}
				}
				if s.API.Ready() == nil {
					w.History.Show(fmt.Sprintf("%s#%d", n, run), s.API.Operators.Store.Configuration().Sequence, time.Now(), w.Site.Bounds.Spread)
				}
			}
			_ = clock.Real{}.Sleep(w.ctx, w.Site.Bounds.HeartbeatInterval()/3)
		}
	})
}

// Close ends the world, and waits until calls that outlive their askers have run out of time.
func (w *World) Close() {
	w.stop()
	for _, m := range w.Machines {
		m.kill()
	}
	w.wg.Wait()
	time.Sleep(w.Site.Bounds.Recovery)
}
