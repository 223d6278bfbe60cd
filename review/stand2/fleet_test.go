//go:build review

package stand2

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The ports of every machine, relative to the fleet's first port.
const (
	controlPort   = 20
	clientPort    = 21
	readinessPort = 22
	internalPorts = 16
)

// machine is one machine of the deployment with its process.
type machine struct {
	name, class, zone, ip string
	disk                  bool
	fleet                 *fleet
	folder, settings      string

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	runs    int
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	run       *run
	folder    string
	firstPort int
	network   string
	machines  []*machine
	seeds     []*machine
	// gone are the machines that were taken away. count is how many machines there have been.
	gone  []*machine
	count int
}

// plan names the machines of each zone: those with a small disk, those without, and stores.
type plan struct {
	zones                    []string
	disks, diskless, storage int
	seedsWithoutDisk         bool
	machineLosses            int
}

// layOut prepares the machines' folders and settings files. Nothing runs yet.
func (f *fleet) layOut(p plan) {
	folder, err := os.MkdirTemp("", "review-2-")
	must(err)
	f.folder = folder
	f.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	f.firstPort = 12000 + rand.IntN(18000)
	for _, zone := range p.zones {
		for i := range p.disks {
			f.add("access", zone, i+1, true)
		}
		for i := range p.diskless {
			f.add("access", zone, p.disks+i+1, false)
		}
		for i := range p.storage {
			f.add("storage", zone, i+1, true)
		}
	}
	for _, m := range f.machines {
		if m.class == "access" && m.disk != p.seedsWithoutDisk && len(f.seeds) < 3 {
			f.seeds = append(f.seeds, m)
		}
	}
	for _, m := range f.machines {
		f.checkFree(m)
		m.writeSettings(p, true)
	}
}

// add adds a machine at an address of its own.
func (f *fleet) add(class, zone string, index int, disk bool) *machine {
	f.count++
	m := &machine{
		name: fmt.Sprintf("%s-%s-%d", class, zone, index), class: class, zone: zone, disk: disk, fleet: f,
		ip: fmt.Sprintf("%s.%d", f.network, f.count),
	}
	m.folder = filepath.Join(f.folder, m.name)
	m.settings = filepath.Join(f.folder, m.name+".toml")
	f.machines = append(f.machines, m)
	return m
}

// remove takes a machine away for good.
func (f *fleet) remove(m *machine) {
	f.machines = slices.DeleteFunc(f.machines, func(other *machine) bool { return other == m })
	f.gone = append(f.gone, m)
}

func (f *fleet) checkFree(m *machine) {
	for _, port := range []int{0, 1, controlPort, clientPort, readinessPort} {
		listener, err := net.Listen("tcp", m.address(port))
		must(err)
		must(listener.Close())
	}
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.firstPort+port) }

// machineSettings are the values of a machine's settings file.
type machineSettings struct {
	Name, Class, IP, Zone, Data string
	Client, Readiness, Control  string
	IsStorage, HasDisk, Initial bool
	FirstPort, LastPort, Losses int
	Seeds, Zones                []string
}

// writeSettings writes the machine's settings file, as DEPLOY.md shows one.
func (m *machine) writeSettings(p plan, initial bool) {
	values := machineSettings{
		Name: m.name, Class: m.class, IP: m.ip, Zone: m.zone, Data: filepath.Join(m.folder, "data"),
		Client: m.address(clientPort), Readiness: m.address(readinessPort), Control: m.address(controlPort),
		IsStorage: isStorage(m), HasDisk: m.disk, Initial: initial,
		FirstPort: m.fleet.firstPort, LastPort: m.fleet.firstPort + internalPorts - 1, Losses: p.machineLosses,
		Zones: p.zones,
	}
	for _, seed := range m.fleet.seeds {
		values.Seeds = append(values.Seeds, seed.address(controlPort))
	}
	must(os.WriteFile(m.settings, append(fill("settings.toml.tmpl", values), '\n'), 0o600))
	if m.disk {
		must(os.MkdirAll(filepath.Join(m.folder, "data"), 0o750))
	}
}

// program is the program of deploy/system.toml, which the build of that file puts there.
const program = "target/postjunction"

// start starts the machine's process with the command of the deploy file.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(m.folder+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	command := exec.Command(program, "platform")
	command.Env = []string{settingsVariable + "=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(command.Start())
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	m.runs++
	go func() {
		err := command.Wait()
		_ = log.Close()
		m.fleet.run.note("process of %s ended: %v", m.name, err)
		close(ended)
	}()
	m.fleet.run.note("started %s", m.name)
}

func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.run.note("%v to %s", signal, m.name)
	_ = m.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// wipe deletes what the machine's disk has.
func (m *machine) wipe() {
	data := filepath.Join(m.folder, "data")
	must(os.RemoveAll(data))
	must(os.MkdirAll(data, 0o750))
	m.fleet.run.note("the disk of %s is lost", m.name)
}

// restart starts the process again, with settings of a machine that is not new.
func (m *machine) restart(p plan) {
	m.writeSettings(p, false)
	m.start()
}

// end ends all processes and removes their folder.
func (f *fleet) end() {
	for _, m := range append(f.gone, f.machines...) {
		m.mu.Lock()
		command, ended := m.command, m.ended
		m.mu.Unlock()
		if command == nil {
			continue
		}
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "1" {
		f.run.note("kept %s", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

func (f *fleet) filter(accept func(*machine) bool) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if accept(m) {
			found = append(found, m)
		}
	}
	return found
}

func (f *fleet) isSeed(m *machine) bool { return slices.Contains(f.seeds, m) }

func isCore(m *machine) bool     { return m.class == "access" && m.disk }
func isDiskless(m *machine) bool { return m.class == "access" && !m.disk }
func isAccess(m *machine) bool   { return m.class == "access" }
func isStorage(m *machine) bool  { return m.class == "storage" }
