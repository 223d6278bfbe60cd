// Package recordtype numbers the records of the disk format.
package recordtype

// The kinds of record.
const (
	Identity uint16 = 1 + iota
	Roster
	Slot
	Seal
	Entry
	Cut
	Base
	Forget
	Directory
	AnewBegins
	AnewEnds
	Probe
)
