// Package recordtype numbers the types of record on disk, across all packages that store state in a
// journal. A number is never reused or changed, since data folders of older builds contain it.
package recordtype

// The types of record.
const (
	Identity         uint16 = 1 + iota // the node and fleet that the disk belongs to
	VoterSet                           // the voter set of a control disk
	Slot                               // a register of a control disk
	Seal                               // the epoch below which a partition rejects leaders
	Entry                              // an entry of a log
	Truncation                         // drops the end of a log
	Base                               // drops the front of a log, or starts one there
	Forget                             // drops all of a partition but its seal
	Snapshot                           // the materialised state of a partition
	CompactionBegins                   // the beginning of a slice of a compaction
	CompactionEnds                     // the end of the slice
	Probe                              // no content; a health check of the disk
	Addresses                          // the addresses of present and former members
)
