package settings

import (
	"flag"
	"strings"
)

// Flags binds the settings to a flag set. The values in o are the flags' defaults.
func (o *Options) Flags(set *flag.FlagSet) {
	set.StringVar(&o.Name, "name", o.Name, "lasting `name` of this node")
	set.StringVar(&o.Zone, "zone", o.Zone, "`zone` that this node stands in")
	set.StringVar(&o.Listen, "listen", o.Listen, "`address` for callers and operators")
	set.StringVar(&o.PeerListen, "fellow-listen", o.PeerListen, "`address` for the other nodes")
	set.StringVar(
		&o.PeerAddress, "fellow-address", o.PeerAddress,
		"`address` that the other nodes dial, when it differs from fellow-listen",
	)
	set.Func("seeds", "one to seven `addresses` of other nodes, with commas between", func(list string) error {
		o.Seeds = strings.Split(list, ",")
		return nil
	})
	set.StringVar(&o.Disk, "disk", o.Disk, "`kind` of disk: none, control or storage")
	set.StringVar(&o.DataDir, "data", o.DataDir, "data `folder`, needed with a disk")
	set.Func("founders", "fellow `addresses` of the control disks that found the fleet, with commas between; "+
		"without it those among this node and its seeds", func(list string) error {
		o.Founders = strings.Split(list, ",")
		return nil
	})
	set.IntVar(
		&o.RoutinePartitions, "routine-partitions", o.RoutinePartitions,
		"`number` of routine partitions, fixed at founding",
	)
	set.IntVar(
		&o.UrgentPartitions, "urgent-partitions", o.UrgentPartitions,
		"`number` of urgent partitions, fixed at founding",
	)
	set.Var(&o.Keeping, "keeping", "keeping `time`")
	set.Var(&o.Spread, "spread", "`time` in which a description reaches every node")
	set.Var(&o.Recovery, "recovery", "`time` in which service returns after a loss")
	set.Var(&o.Changelog, "changelog", "`interval` of changelog batches, 0 for recovery/6")
	set.IntVar(&o.BodyLimit, "body-limit", o.BodyLimit, "largest message body in `bytes`")
	set.IntVar(&o.Backlog, "backlog", o.Backlog, "tasks that may wait in a lane, a `number`")
	set.IntVar(&o.MaxTombstones, "marks", o.MaxTombstones, "withdrawals of one partition that may stand, a `number`")
	set.StringVar(
		&o.ClientListen, "visit-listen", o.ClientListen,
		"`address` for visitors' line sessions, empty for none",
	)
	set.StringVar(
		&o.BootstrapBy, "founding", o.BootstrapBy,
		"`who` founds when founders are not named: self (and seeds), seeds or never",
	)
	set.IntVar(
		&o.ToleratedLosses, "losses", o.ToleratedLosses,
		"`number` of machines with a disk that may be lost at once",
	)
	set.Var(&o.LeaseExtension, "stretch", "`time` that a licence lasts longer while no control node can confirm")
	set.Var(&o.Keepalive, "keepalive", "`time` after which a silent visitor gives a sign of life")
	set.Var(&o.Redelivery, "redelivery", "`time` within which a taken call may come again")
	set.IntVar(&o.MemoryMB, "memory-mb", o.MemoryMB, "memory of the process in `MiB`, 0 for no bound")
	set.IntVar(
		&o.MilliCores, "processor-thousandths", o.MilliCores,
		"`thousandths` of a core that the process has, 0 for plenty",
	)
	set.IntVar(&o.LinkKbits, "link-kbits", o.LinkKbits, "`Kbit/s` that the link carries each way, 0 for plenty")
	set.IntVar(&o.Descriptors, "descriptors", o.Descriptors, "`number` of descriptors, 0 for no bound")
	set.IntVar(&o.DiskMB, "disk-mb", o.DiskMB, "room on the disk in `MiB`, 0 for no bound")
	set.StringVar(&o.LogLevel, "log-level", o.LogLevel, "`level`: trace, debug, info, warn or error")
}
