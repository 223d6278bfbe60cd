// Package recordtype numbers the types of record on disk, across all packages that keep state in a
// journal. A number is never reused or changed: data folders of older builds hold them.
package recordtype

// The types of record.
const (
	Identity         uint16 = 1 + iota // whose disk it is
	VoterSet                           // the voter set of a control disk
	Slot                               // a register of a control disk
	Seal                               // the epoch below which a partition rejects leaders
	Entry                              // an entry of a log
	Truncation                         // drops the end of a log
	Base                               // drops the front of a log, or starts one there
	Forget                             // drops all of a partition but its seal
	Snapshot                           // the materialised state of a partition
	CompactionBegins                   // opens a slice of a compaction
	CompactionEnds                     // closes it
	Probe                              // nothing: a health check of the disk
)
