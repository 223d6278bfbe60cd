//go:build review

package stand

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is one machine with one process of the deploy file.
type node struct {
	name, zone, class, ip string
	disk                  bool
	dir                   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	wanted  bool // the platform keeps it running
	initial bool
	starts  int
	ownEnds int // ends that the stand-in didn't cause
}

// fleet is the stand-in of the platform.
type fleet struct {
	dir    string
	bin    string
	nodes  []*node
	seeds  []*node
	ports  struct{ client, ready, control, first, last int }
	ipBase string
	losses int // machines that may be lost at once, 1 if unset
	rec    *recorder

	mu     sync.Mutex
	missed map[string]int
	inPool map[string]bool
}

func newFleet(dir string, rec *recorder, access, diskless, storage int) *fleet {
	f := &fleet{dir: dir, bin: "target/postjunction", rec: rec, missed: map[string]int{}, inPool: map[string]bool{}}
	if b := os.Getenv("STAND_BIN"); b != "" {
		f.bin = b
	}
	pid := os.Getpid()
	f.ipBase = fmt.Sprintf("127.%d.%d.", 20+pid%200, 1+(pid/200)%250)
	f.choosePorts()
	zones := []string{"hall-ouest", "hall-est", "quai-expe"}
	add := func(class, prefix string, i int, disk bool) {
		n := &node{
			name: fmt.Sprintf("%s-%s-%d", prefix, zones[i%3], i/3+1), zone: zones[i%3], class: class, disk: disk,
			ip: f.ipBase + fmt.Sprint(len(f.nodes)+1), initial: true,
		}
		n.dir = filepath.Join(dir, n.name)
		f.nodes = append(f.nodes, n)
	}
	for i := range access {
		add("access", "access", i, true)
	}
	for i := range diskless {
		add("access", "access", access+i, false)
	}
	for i := range storage {
		add("storage", "storage", i, true)
	}
	f.seeds = f.nodes[:3]
	return f
}

// choosePorts finds ports that are free on a loopback address.
func (f *fleet) choosePorts() {
	base := 12000 + os.Getpid()%150*100
	for ; base < 32000; base += 100 {
		free := true
		for p := base; p < base+20 && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", f.ipBase, p))
			if err != nil {
				free = false
				continue
			}
			_ = l.Close()
		}
		if free {
			break
		}
	}
	f.ports.control, f.ports.client, f.ports.ready = base, base+1, base+2
	f.ports.first, f.ports.last = base+4, base+19
}

func (f *fleet) addr(n *node, port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

func (f *fleet) named(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// of returns the nodes of a kind: core (access with a disk), access, storage.
func (f *fleet) of(kind string) []*node {
	var found []*node
	for _, n := range f.nodes {
		if kind == n.class || kind == "core" && n.class == "access" && n.disk {
			found = append(found, n)
		}
	}
	return found
}

// settings returns the settings file of a small deployment.
func (f *fleet) settings(n *node) []byte {
	values := map[string]any{
		"Name": n.name, "Class": n.class, "IP": n.ip, "Zone": n.zone, "First": f.ports.first, "Last": f.ports.last,
		"Initial": n.initial, "Disk": n.disk, "Data": filepath.Join(n.dir, "data"), "Losses": max(f.losses, 1),
		"Client": f.addr(n, f.ports.client), "Ready": f.addr(n, f.ports.ready), "Control": f.addr(n, f.ports.control),
	}
	var seeds []string
	for _, s := range f.seeds {
		seeds = append(seeds, f.addr(s, f.ports.control))
	}
	values["Seeds"] = seeds
	return append(filled("settings.toml.tmpl", values), '\n')
}

// start runs a node's process and starts it again whenever it ends, until stop.
func (f *fleet) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	return f.launch(n)
}

func (f *fleet) launch(n *node) error {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	if n.disk {
		if err := os.MkdirAll(filepath.Join(n.dir, "data"), 0o755); err != nil {
			return err
		}
	}
	file := filepath.Join(n.dir, "local.toml")
	if err := os.WriteFile(file, f.settings(n), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.bin, "platform")
	cmd.Env = append(os.Environ(), wSettings+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the stand-in, whatever becomes of that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = log.Close()
	n.cmd, n.done = cmd, make(chan struct{})
	n.starts++
	f.rec.log("platform: %s starts, first start %v", n.name, n.initial)
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
		n.mu.Lock()
		own := n.cmd == cmd && n.wanted
		if own {
			n.ownEnds++
		}
		n.mu.Unlock()
		if own {
			f.rec.log("platform: %s ended by itself: %v", n.name, cmd.ProcessState)
			time.Sleep(500 * time.Millisecond)
			n.mu.Lock()
			if n.cmd == cmd && n.wanted {
				n.initial = false
				_ = f.launch(n)
			}
			n.mu.Unlock()
		}
	}(n.done)
	return nil
}

func (f *fleet) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && n.cmd.Process != nil {
		f.rec.log("platform: %s gets %v", n.name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends a process with SIGKILL and waits for its end; the platform leaves it down until start.
func (f *fleet) kill(n *node) {
	n.mu.Lock()
	n.wanted = false
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	f.rec.log("platform: %s is killed", n.name)
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
	n.initial = false
}

// term stops a process with SIGTERM, and SIGKILL after the grace period.
func (f *fleet) term(n *node) {
	n.mu.Lock()
	n.wanted = false
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	f.rec.log("platform: %s gets SIGTERM", n.name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(6 * time.Second):
		f.rec.log("platform: %s is killed after the grace period", n.name)
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-done
	}
	n.initial = false
}

// wipe empties the disk of a node that is down.
func (f *fleet) wipe(n *node) {
	f.rec.log("platform: the disk of %s is lost", n.name)
	_ = os.RemoveAll(filepath.Join(n.dir, "data"))
}

// stopAll ends every process that was started.
func (f *fleet) stopAll() {
	var wg sync.WaitGroup
	for _, n := range f.nodes {
		wg.Go(func() {
			n.mu.Lock()
			n.wanted = false
			cmd, done := n.cmd, n.done
			n.mu.Unlock()
			if cmd != nil {
				_ = cmd.Process.Signal(syscall.SIGKILL)
				<-done
			}
		})
	}
	wg.Wait()
}

// probe asks every access node for its readiness once a second, as the platform does.
func (f *fleet) probe(stop <-chan struct{}) {
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		var wg sync.WaitGroup
		for _, n := range f.of("access") {
			wg.Go(func() {
				resp, err := client.Get("http://" + f.addr(n, f.ports.ready) + "/-/readiness")
				ok := err == nil && resp.StatusCode == 200
				if err == nil {
					_ = resp.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				if ok {
					f.missed[n.name], f.inPool[n.name] = 0, true
				} else if f.missed[n.name]++; f.missed[n.name] >= 2 {
					f.inPool[n.name] = false
				}
			})
		}
		wg.Wait()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns the address of the access node that a new connection goes to.
func (f *fleet) pick(zone string, try int) (string, *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in []*node
	for _, n := range f.of("access") {
		if n.zone == zone {
			all = append(all, n)
			if f.inPool[n.name] {
				in = append(in, n)
			}
		}
	}
	if len(in) == 0 {
		for _, n := range f.of("access") {
			if f.inPool[n.name] {
				in = append(in, n)
			}
		}
	} else if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		in = all
	}
	n := in[try%len(in)]
	return f.addr(n, f.ports.client), n
}

func (f *fleet) readyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.of("access") {
		if f.inPool[n.name] {
			count++
		}
	}
	return count
}
