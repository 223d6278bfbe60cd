package settings

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"postjunction/internal/apierror"
)

// Fault is one thing wrong with the settings.
type Fault struct {
	Field   string
	Message string
}

// Options are the settings of one node.
type Options struct {
	Name              string   `json:"name"`
	Zone              string   `json:"zone"`
	Listen            string   `json:"listen"`
	PeerListen        string   `json:"fellow_listen"`
	PeerAddress       string   `json:"fellow_address,omitempty"`
	Seeds             []string `json:"seeds"`
	Disk              string   `json:"disk"`
	DataDir           string   `json:"data"`
	Founders          []string `json:"founders"`
	RoutinePartitions int      `json:"routine_partitions"`
	UrgentPartitions  int      `json:"urgent_partitions"`
	Keeping           Duration `json:"keeping"`
	Spread            Duration `json:"spread"`
	Recovery          Duration `json:"recovery"`
	Changelog         Duration `json:"changelog"`
	BodyLimit         int      `json:"body_limit"`
	Backlog           int      `json:"backlog"`
	// MaxTombstones is how many withdrawals of one partition may stand.
	MaxTombstones int    `json:"marks"`
	LogLevel      string `json:"log_level"`
	// ClientListen is where visitors' line sessions are taken; empty for none.
	ClientListen string `json:"visit_listen,omitempty"`
	// BootstrapBy says who founds the fleet when founders are not named: self, seeds or never.
	BootstrapBy string `json:"founding"`
	// ToleratedLosses is how many machines with a disk may be lost at once; copies and acknowledgements follow from it.
	ToleratedLosses int `json:"losses"`
	// LeaseExtension lengthens the lease of a node that no control node can confirm for.
	LeaseExtension Duration `json:"stretch"`
	// Keepalive is how long a visitor may be silent before it gives a sign of life; three times that ends its visit.
	Keepalive Duration `json:"keepalive"`
	// Redelivery is how long after its taking a call may come again.
	Redelivery Duration `json:"redelivery"`
	// MemoryMB, Descriptors and Room bound the process and its disk, in MiB, numbers and MiB; 0 for no bound.
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"descriptors"`
	DiskMB      int `json:"disk_mb"`
	// MilliCores is what the process has of one, in thousandths of a core; 0 for plenty.
	MilliCores int `json:"processor_thousandths"`
	// LinkKbits is what the machine's link carries each way, in Kbit/s; 0 for plenty.
	LinkKbits int `json:"link_kbits"`
}

// packsBelow is the Kbit/s of link for each thousandth of a core below which a link is narrow: packed bodies are asked for, and visitors go elsewhere.
const packsBelow = 25

// ClientCapacity is how many thousandths of a core the machine is worth to visitors: its processor, or less where the link is narrow beside it. 0 where that isn't known.
func (o *Options) ClientCapacity() int {
	if !o.CompressStreams() {
		return o.MilliCores
	}
	return max(o.LinkKbits/packsBelow, 1)
}

// CompressStreams tells whether the link is so narrow beside the processor that what peers tell is to come packed.
func (o *Options) CompressStreams() bool {
	return o.LinkKbits > 0 && o.MilliCores > 0 && o.LinkKbits < packsBelow*o.MilliCores
}

// Who founds the fleet when founders are not named.
const (
	BootstrapSelf  = "self"
	BootstrapSeeds = "seeds"
	BootstrapNever = "never"
)

// Duration is a duration written as Go writes it.
type Duration time.Duration

// UnmarshalJSON reads "35s".
func (s *Duration) UnmarshalJSON(b []byte) error {
	var t string
	if err := json.Unmarshal(b, &t); err != nil {
		return apierror.New(apierror.SettingsInvalid, "must be a duration in quotes such as \"35s\"")
	}
	d, err := time.ParseDuration(t)
	if err != nil {
		return apierror.New(apierror.SettingsInvalid, "%q is no duration such as \"35s\"", t)
	}
	*s = Duration(d)
	return nil
}

// MarshalJSON writes "35s".
func (s Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// Set reads a flag.
func (s *Duration) Set(t string) error {
	d, err := time.ParseDuration(t)
	*s = Duration(d)
	return err
}

// String writes a flag.
func (s *Duration) String() string { return time.Duration(*s).String() }

const (
	foundersMost = 7
	seedsMost    = 7
	routineMost  = 3072
	urgentMost   = 1024
)

// Disks that a machine may have.
const (
	DiskNone    = "none"
	DiskControl = "control"
	DiskStorage = "storage"
)

// Default gives the settings before a file and flags are read.
func Default() Options {
	return Options{
		Listen: "127.0.0.1:7400", PeerListen: "127.0.0.1:7500", Disk: DiskNone,
		RoutinePartitions: 12, UrgentPartitions: 4,
		Keeping: Duration(DefaultTiming.Keeping), Spread: Duration(DefaultTiming.Spread), Recovery: Duration(DefaultTiming.Recovery),
		BodyLimit: 64 << 10, Backlog: 64, MaxTombstones: 4096, LogLevel: "info",
		BootstrapBy: BootstrapSelf, ToleratedLosses: 1, Keepalive: Duration(2 * time.Second), Redelivery: Duration(10 * time.Second),
	}
}

// DialAddress is the address that other nodes dial.
func (o Options) DialAddress() string {
	if o.PeerAddress != "" {
		return o.PeerAddress
	}
	return o.PeerListen
}

// Timing gives the three times.
func (o Options) Timing() Timing {
	return Timing{Keeping: time.Duration(o.Keeping), Spread: time.Duration(o.Spread), Recovery: time.Duration(o.Recovery)}
}

// ChangelogInterval is the changelog interval.
func (o Options) ChangelogInterval() time.Duration {
	if o.Changelog > 0 {
		return time.Duration(o.Changelog)
	}
	return o.Timing().ChangelogInterval()
}

// HasControlDisk tells whether the node has a small disk for control keys.
func (o Options) HasControlDisk() bool { return o.Disk == DiskControl }

// HasStorageDisk tells whether the node has a storage disk.
func (o Options) HasStorageDisk() bool { return o.Disk == DiskStorage }

// Flags binds the settings to a flag set.
func (o *Options) Flags(fs *flag.FlagSet) {
	fs.StringVar(&o.Name, "name", o.Name, "lasting `name` of this node")
	fs.StringVar(&o.Zone, "zone", o.Zone, "`zone` that this node stands in")
	fs.StringVar(&o.Listen, "listen", o.Listen, "`address` for callers and operators")
	fs.StringVar(&o.PeerListen, "fellow-listen", o.PeerListen, "`address` for the other nodes")
	fs.StringVar(&o.PeerAddress, "fellow-address", o.PeerAddress, "`address` that the other nodes dial, when it differs from fellow-listen")
	fs.Func("seeds", "one to seven `addresses` of other nodes, with commas between", func(t string) error {
		o.Seeds = strings.Split(t, ",")
		return nil
	})
	fs.StringVar(&o.Disk, "disk", o.Disk, "`kind` of disk: none, control or storage")
	fs.StringVar(&o.DataDir, "data", o.DataDir, "data `folder`, needed with a disk")
	fs.Func("founders", "fellow `addresses` of the control disks that found the fleet, with commas between; without it those among this node and its seeds", func(t string) error {
		o.Founders = strings.Split(t, ",")
		return nil
	})
	fs.IntVar(&o.RoutinePartitions, "routine-partitions", o.RoutinePartitions, "`number` of routine partitions, fixed at founding")
	fs.IntVar(&o.UrgentPartitions, "urgent-partitions", o.UrgentPartitions, "`number` of urgent partitions, fixed at founding")
	fs.Var(&o.Keeping, "keeping", "keeping `time`")
	fs.Var(&o.Spread, "spread", "`time` in which a description reaches every node")
	fs.Var(&o.Recovery, "recovery", "`time` in which service returns after a loss")
	fs.Var(&o.Changelog, "changelog", "`interval` of changelog batches, 0 for recovery/6")
	fs.IntVar(&o.BodyLimit, "body-limit", o.BodyLimit, "largest message body in `bytes`")
	fs.IntVar(&o.Backlog, "backlog", o.Backlog, "tasks that may wait in a lane, a `number`")
	fs.IntVar(&o.MaxTombstones, "marks", o.MaxTombstones, "withdrawals of one partition that may stand, a `number`")
	fs.StringVar(&o.ClientListen, "visit-listen", o.ClientListen, "`address` for visitors' line sessions, empty for none")
	fs.StringVar(&o.BootstrapBy, "founding", o.BootstrapBy, "`who` founds when founders are not named: self (and seeds), seeds or never")
	fs.IntVar(&o.ToleratedLosses, "losses", o.ToleratedLosses, "`number` of machines with a disk that may be lost at once")
	fs.Var(&o.LeaseExtension, "stretch", "`time` that a licence lasts longer while no control node can confirm")
	fs.Var(&o.Keepalive, "keepalive", "`time` after which a silent visitor gives a sign of life")
	fs.Var(&o.Redelivery, "redelivery", "`time` within which a taken call may come again")
	fs.IntVar(&o.MemoryMB, "memory-mb", o.MemoryMB, "memory of the process in `MiB`, 0 for no bound")
	fs.IntVar(&o.MilliCores, "processor-thousandths", o.MilliCores, "`thousandths` of a core that the process has, 0 for plenty")
	fs.IntVar(&o.LinkKbits, "link-kbits", o.LinkKbits, "`Kbit/s` that the link carries each way, 0 for plenty")
	fs.IntVar(&o.Descriptors, "descriptors", o.Descriptors, "`number` of descriptors, 0 for no bound")
	fs.IntVar(&o.DiskMB, "disk-mb", o.DiskMB, "room on the disk in `MiB`, 0 for no bound")
	fs.StringVar(&o.LogLevel, "log-level", o.LogLevel, "`level`: trace, debug, info, warn or error")
}

// Read reads a settings file over o: one JSON object, no unknown, double or trailing things.
func (o *Options) Read(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return apierror.Wrap(apierror.SettingsInvalid, err, "settings file %s can't be read", path)
	}
	return o.Parse(path, b)
}

// Parse reads the text of a settings file over o.
func (o *Options) Parse(path string, b []byte) error {
	if n, err := doubled(b); err == nil && n != "" {
		return apierror.New(apierror.SettingsInvalid, "%s: field %q: stands twice", path, n)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(o); err != nil {
		return apierror.New(apierror.SettingsInvalid, "%s: %s", path, plain(err))
	}
	if _, err := d.Token(); err != io.EOF {
		return apierror.New(apierror.SettingsInvalid, "%s: something follows the settings object", path)
	}
	return nil
}

func plain(err error) string {
	s := strings.TrimPrefix(err.Error(), "json: ")
	return strings.TrimPrefix(s, string(apierror.SettingsInvalid)+": ")
}

func doubled(b []byte) (string, error) {
	d := json.NewDecoder(bytes.NewReader(b))
	if _, err := d.Token(); err != nil {
		return "", err
	}
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return "", err
		}
		n, _ := t.(string)
		if seen[n] {
			return n, nil
		}
		seen[n] = true
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return "", err
		}
	}
	return "", nil
}

var (
	nameRule  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	levels    = map[string]bool{"trace": true, "debug": true, "info": true, "warn": true, "error": true}
	foundings = map[string]bool{BootstrapSelf: true, BootstrapSeeds: true, BootstrapNever: true}
	disks     = map[string]bool{DiskNone: true, DiskControl: true, DiskStorage: true}
)

// Check gives all that is wrong with the settings, by field.
func (o Options) Check() []Fault {
	var f []Fault
	add := func(ok bool, field, say string, a ...any) {
		if !ok {
			f = append(f, Fault{Field: field, Message: fmt.Sprintf(say, a...)})
		}
	}
	span := func(field string, v, lo, hi int) {
		add(v >= lo && v <= hi, field, "must be from %d to %d, is %d", lo, hi, v)
	}
	add(nameRule.MatchString(o.Name), "name", "must be 1 to 63 of a-z, 0-9 and -, is %q", o.Name)
	add(nameRule.MatchString(o.Zone), "zone", "must be 1 to 63 of a-z, 0-9 and -, is %q", o.Zone)
	add(address(o.Listen), "listen", "must be an IP number and a port from 1 to 65535, is %q", o.Listen)
	add(address(o.PeerListen), "fellow_listen", "must be an IP number and a port from 1 to 65535, is %q", o.PeerListen)
	add(o.PeerAddress == "" || address(o.PeerAddress), "fellow_address", "must be empty or an IP number and a port from 1 to 65535, is %q", o.PeerAddress)
	add(o.Listen != o.PeerListen, "fellow_listen", "must differ from listen, is %q too", o.PeerListen)
	add(len(o.Seeds) >= 1 && len(o.Seeds) <= seedsMost, "seeds", "must be 1 to %d addresses, are %d", seedsMost, len(o.Seeds))
	for i, s := range o.Seeds {
		add(address(s), fmt.Sprintf("seeds[%d]", i), "must be an IP number and a port from 1 to 65535, is %q", s)
	}
	add(disks[o.Disk], "disk", "must be none, control or storage, is %q", o.Disk)
	add(o.Disk == DiskNone || o.DataDir != "", "data", "must name a folder when disk is %q", o.Disk)
	add(len(o.Founders) <= foundersMost, "founders", "must be at most %d addresses, are %d", foundersMost, len(o.Founders))
	for i, s := range o.Founders {
		add(address(s), fmt.Sprintf("founders[%d]", i), "must be an IP number and a port from 1 to 65535, is %q", s)
	}
	add(o.ClientListen == "" || address(o.ClientListen), "visit_listen", "must be empty or an IP number and a port from 1 to 65535, is %q", o.ClientListen)
	add(foundings[o.BootstrapBy], "founding", "must be self, seeds or never, is %q", o.BootstrapBy)
	span("losses", o.ToleratedLosses, 1, 3)
	add(o.LeaseExtension >= 0 && time.Duration(o.LeaseExtension) <= 10*time.Minute, "stretch", "must be from 0s to 10m, is %s", time.Duration(o.LeaseExtension))
	add(time.Duration(o.Keepalive) >= 100*time.Millisecond && time.Duration(o.Keepalive) <= time.Hour, "keepalive", "must be from 100ms to 1h, is %s", time.Duration(o.Keepalive))
	add(o.Redelivery > 0 && o.Redelivery <= o.Keeping, "redelivery", "must be above 0s and at most keeping, is %s", time.Duration(o.Redelivery))
	span("memory_mb", o.MemoryMB, 0, 1<<20)
	span("processor_thousandths", o.MilliCores, 0, 1<<20)
	span("link_kbits", o.LinkKbits, 0, 1<<30)
	span("descriptors", o.Descriptors, 0, 1<<20)
	span("disk_mb", o.DiskMB, 0, 1<<30)
	span("routine_partitions", o.RoutinePartitions, 1, routineMost)
	span("urgent_partitions", o.UrgentPartitions, 1, urgentMost)
	span("body_limit", o.BodyLimit, 1, 1<<20)
	span("backlog", o.Backlog, 8, 1<<16)
	span("marks", o.MaxTombstones, 1, 1<<20)
	add(levels[o.LogLevel], "log_level", "must be trace, debug, info, warn or error, is %q", o.LogLevel)
	f = append(f, o.Timing().check()...)
	c := o.ChangelogInterval()
	add(c >= 50*time.Millisecond && c <= o.Timing().Keeping/changelogAtMost, "changelog", "must be from 50ms to half of keeping (%s), is %s", o.Timing().Keeping/changelogAtMost, c)
	sort.SliceStable(f, func(i, k int) bool { return f[i].Field < f[k].Field })
	return f
}

func address(s string) bool {
	h, p, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(h) == nil {
		return false
	}
	var n int
	if _, err := fmt.Sscanf(p, "%d", &n); err != nil || fmt.Sprint(n) != p {
		return false
	}
	return n >= 1 && n <= 65535
}

// FaultsError makes one problem of the faults, nil when there are none.
func FaultsError(where string, f []Fault) error {
	if len(f) == 0 {
		return nil
	}
	var s []string
	var l []apierror.Fault
	for _, x := range f {
		s = append(s, fmt.Sprintf("%s: field %q: %s", where, x.Field, x.Message))
		l = append(l, apierror.Fault{Path: x.Field, Message: x.Message})
	}
	return apierror.New(apierror.SettingsInvalid, "%s", strings.Join(s, "; ")).WithFaults(l)
}

// Reloadable lists the fields that may change under a running node.
var Reloadable = map[string]func(dst *Options, src Options){
	"log_level": func(d *Options, s Options) { d.LogLevel = s.LogLevel },
	"backlog":   func(d *Options, s Options) { d.Backlog = s.Backlog },
	"marks":     func(d *Options, s Options) { d.MaxTombstones = s.MaxTombstones },
	"changelog": func(d *Options, s Options) { d.Changelog = s.Changelog },
}

// Changed lists the fields in which two settings differ.
func Changed(a, b Options) []string {
	x, y := fields(a), fields(b)
	var s []string
	for k := range x {
		if !bytes.Equal(x[k], y[k]) {
			s = append(s, k)
		}
	}
	sort.Strings(s)
	return s
}

func fields(o Options) map[string]json.RawMessage {
	b, _ := json.Marshal(o)
	m := map[string]json.RawMessage{}
	_ = json.Unmarshal(b, &m)
	return m
}
