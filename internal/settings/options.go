package settings

import (
	"encoding/json"
	"time"

	"postjunction/internal/apierror"
)

// Options are the settings of one node, under the names that a settings file uses. They are plain
// data. A running node changes only the fields that Reloadable lists.
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
	// MaxTombstones is how many tombstones a partition may have at a time.
	MaxTombstones int    `json:"marks"`
	LogLevel      string `json:"log_level"`
	// ClientListen is the address for clients' connections with the line protocol; empty for none.
	ClientListen string `json:"visit_listen,omitempty"`
	// BootstrapBy says who bootstraps the fleet if Founders is empty: self, seeds or never.
	BootstrapBy string `json:"founding"`
	// ToleratedLosses is how many machines with a disk may be lost at once; replicas and quorums
	// follow from it.
	ToleratedLosses int `json:"losses"`
	// LeaseExtension lengthens the lease of a node while no control node can confirm it.
	LeaseExtension Duration `json:"stretch"`
	// Keepalive is how long a client may be silent before it sends a keepalive. A session ends once
	// its client has been silent for between three and four times that.
	Keepalive Duration `json:"keepalive"`
	// Redelivery is how long after it was accepted a call may be sent again.
	Redelivery Duration `json:"redelivery"`
	// MemoryMB limits the process's memory in MiB, Descriptors its file descriptors, and DiskMB the
	// space on its disk in MiB; 0 is no limit.
	MemoryMB    int `json:"memory_mb"`
	Descriptors int `json:"descriptors"`
	DiskMB      int `json:"disk_mb"`
	// MilliCores is the processor time of the process, in thousandths of a core; 0 is no limit.
	MilliCores int `json:"processor_thousandths"`
	// LinkKbits is the bandwidth of the machine's link in each direction, in Kbit/s; 0 is no limit.
	LinkKbits int `json:"link_kbits"`
}

// narrowLinkKbits is the bandwidth in Kbit/s per thousandth of a core below which a link is narrow.
// A node with a narrow link requests compressed streams, and gets fewer clients.
const narrowLinkKbits = 25

// ClientCapacity returns the node's capacity for clients in thousandths of a core. It is that of
// the processor, or less if the link is narrow compared to it. It is 0 if the capacity isn't known.
func (o *Options) ClientCapacity() int {
	if !o.CompressStreams() {
		return o.MilliCores
	}
	return max(o.LinkKbits/narrowLinkKbits, 1)
}

// CompressStreams reports whether the link is so narrow compared to the processor that peers should
// compress their streams.
func (o *Options) CompressStreams() bool {
	return o.LinkKbits > 0 && o.MilliCores > 0 && o.LinkKbits < narrowLinkKbits*o.MilliCores
}

// Who bootstraps the fleet if no founders are named.
const (
	BootstrapSelf  = "self"
	BootstrapSeeds = "seeds"
	BootstrapNever = "never"
)

// Duration is a duration in Go's notation.
type Duration time.Duration

// UnmarshalJSON reads a duration in quotes, such as "35s".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return apierror.New(apierror.SettingsInvalid, "must be a duration in quotes such as \"35s\"")
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return apierror.New(apierror.SettingsInvalid, "%q is no duration such as \"35s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalJSON writes a duration in quotes, such as "35s".
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Set parses the value of a flag.
func (d *Duration) Set(text string) error {
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// String returns the value of a flag.
func (d *Duration) String() string { return time.Duration(*d).String() }

// Disks that a node may have.
const (
	DiskNone    = "none"
	DiskControl = "control"
	DiskStorage = "storage"
)

// Default returns the settings before a file and flags are read.
func Default() Options {
	return Options{
		Listen:            "127.0.0.1:7400",
		PeerListen:        "127.0.0.1:7500",
		Disk:              DiskNone,
		RoutinePartitions: 12,
		UrgentPartitions:  4,
		Keeping:           Duration(DefaultTiming.Keeping),
		Spread:            Duration(DefaultTiming.Spread),
		Recovery:          Duration(DefaultTiming.Recovery),
		BodyLimit:         64 << 10,
		Backlog:           64,
		MaxTombstones:     4096,
		LogLevel:          "info",
		BootstrapBy:       BootstrapSelf,
		ToleratedLosses:   1,
		Keepalive:         Duration(2 * time.Second),
		Redelivery:        Duration(10 * time.Second),
	}
}

// DialAddress returns the address that other nodes dial.
func (o Options) DialAddress() string {
	if o.PeerAddress != "" {
		return o.PeerAddress
	}
	return o.PeerListen
}

// Timing returns the three times that all others derive from.
func (o Options) Timing() Timing {
	return Timing{
		Keeping: time.Duration(o.Keeping), Spread: time.Duration(o.Spread),
		Recovery: time.Duration(o.Recovery),
	}
}

// ChangelogInterval returns the interval of changelog batches, that of Timing if none is set.
func (o Options) ChangelogInterval() time.Duration {
	if o.Changelog > 0 {
		return time.Duration(o.Changelog)
	}
	return o.Timing().ChangelogInterval()
}

// HasControlDisk reports whether the node has a small disk for control keys.
func (o Options) HasControlDisk() bool { return o.Disk == DiskControl }

// HasStorageDisk reports whether the node has a storage disk.
func (o Options) HasStorageDisk() bool { return o.Disk == DiskStorage }
