package settings

import (
	"fmt"
	"net"
	"regexp"
	"sort"
	"strings"
	"time"

	"postjunction/internal/apierror"
)

const (
	maxFounders          = 7
	maxSeeds             = 7
	maxRoutinePartitions = 3072
	maxUrgentPartitions  = 1024
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	logLevels   = map[string]bool{"trace": true, "debug": true, "info": true, "warn": true, "error": true}
	bootstraps  = map[string]bool{BootstrapSelf: true, BootstrapSeeds: true, BootstrapNever: true}
	disks       = map[string]bool{DiskNone: true, DiskControl: true, DiskStorage: true}
)

// Fault is one thing wrong with the settings.
type Fault struct {
	Field   string
	Message string
}

// FaultsError returns one apierror.SettingsInvalid with all faults, nil if there are none. source
// names what was checked.
func FaultsError(source string, faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	var texts []string
	var listed []apierror.Fault
	for _, fault := range faults {
		texts = append(texts, fmt.Sprintf("%s: field %q: %s", source, fault.Field, fault.Message))
		listed = append(listed, apierror.Fault{Path: fault.Field, Message: fault.Message})
	}
	return apierror.New(apierror.SettingsInvalid, "%s", strings.Join(texts, "; ")).WithFaults(listed)
}

// checker collects faults.
type checker struct{ faults []Fault }

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.faults = append(c.faults, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

func (c *checker) requireRange(field string, value, least, most int) {
	c.require(value >= least && value <= most, field, "must be from %d to %d, is %d", least, most, value)
}

func (c *checker) requireName(field, name string) {
	c.require(namePattern.MatchString(name), field, "must be 1 to 63 of a-z, 0-9 and -, is %q", name)
}

func (c *checker) requireAddress(field, address string) {
	c.require(isAddress(address), field, "must be an IP number and a port from 1 to 65535, is %q", address)
}

func (c *checker) requireAddressOrNone(field, address string) {
	c.require(address == "" || isAddress(address), field,
		"must be empty or an IP number and a port from 1 to 65535, is %q", address)
}

// Check returns all faults of the settings, sorted by field.
func (o Options) Check() []Fault {
	var c checker
	o.checkIdentity(&c)
	o.checkBootstrap(&c)
	o.checkTimes(&c)
	o.checkSizes(&c)
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Field < c.faults[j].Field })
	return c.faults
}

// checkIdentity checks the node's name and zone, its addresses, its disk and its log level.
func (o Options) checkIdentity(c *checker) {
	c.requireName("name", o.Name)
	c.requireName("zone", o.Zone)
	c.requireAddress("listen", o.Listen)
	c.requireAddress("fellow_listen", o.PeerListen)
	c.requireAddressOrNone("fellow_address", o.PeerAddress)
	c.require(o.Listen != o.PeerListen, "fellow_listen", "must differ from listen, is %q too", o.PeerListen)
	c.requireAddressOrNone("visit_listen", o.ClientListen)
	c.require(disks[o.Disk], "disk", "must be none, control or storage, is %q", o.Disk)
	c.require(o.Disk == DiskNone || o.DataDir != "", "data", "must name a folder when disk is %q", o.Disk)
	c.require(logLevels[o.LogLevel], "log_level", "must be trace, debug, info, warn or error, is %q", o.LogLevel)
}

// checkBootstrap checks how the node finds its fleet, and the settings that are fixed at bootstrap.
func (o Options) checkBootstrap(c *checker) {
	c.require(len(o.Seeds) >= 1 && len(o.Seeds) <= maxSeeds, "seeds", "must be 1 to %d addresses, are %d",
		maxSeeds, len(o.Seeds))
	for i, address := range o.Seeds {
		c.requireAddress(fmt.Sprintf("seeds[%d]", i), address)
	}
	c.require(len(o.Founders) <= maxFounders, "founders", "must be at most %d addresses, are %d",
		maxFounders, len(o.Founders))
	for i, address := range o.Founders {
		c.requireAddress(fmt.Sprintf("founders[%d]", i), address)
	}
	c.require(bootstraps[o.BootstrapBy], "founding", "must be self, seeds or never, is %q", o.BootstrapBy)
	c.requireRange("losses", o.ToleratedLosses, 1, 3)
	c.requireRange("routine_partitions", o.RoutinePartitions, 1, maxRoutinePartitions)
	c.requireRange("urgent_partitions", o.UrgentPartitions, 1, maxUrgentPartitions)
}

func (o Options) checkTimes(c *checker) {
	extension, keepalive := time.Duration(o.LeaseExtension), time.Duration(o.Keepalive)
	c.require(extension >= 0 && extension <= 10*time.Minute, "stretch", "must be from 0s to 10m, is %s", extension)
	c.require(keepalive >= 100*time.Millisecond && keepalive <= time.Hour, "keepalive",
		"must be from 100ms to 1h, is %s", keepalive)
	c.require(o.Redelivery > 0 && o.Redelivery <= o.Keeping, "redelivery",
		"must be above 0s and at most keeping, is %s", time.Duration(o.Redelivery))
	c.faults = append(c.faults, o.Timing().check()...)
	interval, longest := o.ChangelogInterval(), o.Timing().Keeping/maxChangelogFraction
	c.require(interval >= 50*time.Millisecond && interval <= longest, "changelog",
		"must be from 50ms to half of keeping (%s), is %s", longest, interval)
}

func (o Options) checkSizes(c *checker) {
	c.requireRange("memory_mb", o.MemoryMB, 0, 1<<20)
	c.requireRange("processor_thousandths", o.MilliCores, 0, 1<<20)
	c.requireRange("link_kbits", o.LinkKbits, 0, 1<<30)
	c.requireRange("descriptors", o.Descriptors, 0, 1<<20)
	c.requireRange("disk_mb", o.DiskMB, 0, 1<<30)
	c.requireRange("body_limit", o.BodyLimit, 1, 1<<20)
	c.requireRange("backlog", o.Backlog, 8, 1<<16)
	c.requireRange("marks", o.MaxTombstones, 1, 1<<20)
}

func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	var number int
	if _, err := fmt.Sscanf(port, "%d", &number); err != nil || fmt.Sprint(number) != port {
		return false
	}
	return number >= 1 && number <= 65535
}
