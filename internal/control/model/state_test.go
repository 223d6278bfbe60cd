package model

import (
	"math/bits"
	"slices"

	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/epoch"
	"postjunction/internal/voters"
)

const (
	voterCount   = 4 // 0 to 2 are the first voter set, and 3 replaces 2
	attemptCount = 3
	// reconfigurerCount is the number of nodes that copy slots to the next voter set concurrently.
	reconfigurerCount = 2
	wipedVoter        = 2
	maxVersion        = attemptCount + 1
)

// members has the voters of each voter set as bits. Voter set 0 is none.
var members = [3]uint8{0, 0b0111, 0b1011}

// quorumSizes computes majority and seal quorum by the rules of package voters.
var quorumSizes = voters.Set{Voters: make([]voters.Voter, 3)}

func isMajority(voterBits uint8) bool { return bits.OnesCount8(voterBits) >= quorumSizes.Majority() }

func contains(voterBits uint8, voter int) bool { return voterBits>>voter&1 == 1 }

// slot is a compact acceptor.Slot. Epochs and values are the numbers of the attempts that they are
// of, counted from 1.
type slot struct{ promised, accepted, version, value int8 }

func (s slot) expand() acceptor.Slot {
	return acceptor.Slot{
		Promised: epochOf(s.promised),
		Accepted: epochOf(s.accepted),
		Value:    acceptor.Value{Version: uint64(s.version), ChangeID: changeIDs[s.value]},
	}
}

func compact(full acceptor.Slot) slot {
	value := slices.Index(changeIDs[:], full.Value.ChangeID)
	return slot{int8(full.Promised.Number), int8(full.Accepted.Number), int8(full.Value.Version), int8(value)}
}

func epochOf(attempt int8) epoch.Epoch { return epoch.Epoch{Number: uint64(attempt)} }

var changeIDs = [attemptCount + 1]string{"", "first", "second", "third"}

type disk struct {
	voterSet int8
	sealed   bool
	wiped    bool
	slot     slot
}

// phase is the progress of an attempt to claim and change a key.
type phase int8

const (
	idle phase = iota
	preparing
	reaccepting
	changing
)

// attempt is one claim of a key with one change after it. Its messages remain in flight forever.
type attempt struct {
	phase    phase
	voterSet int8
	promises uint8
	adopted  slot
	// reaccepted and changeAccepted are the voters that accepted, as bits. The proposer may learn
	// of it at any later time or never.
	reaccepted     uint8
	changeAccepted uint8
	reacceptSent   bool
	changeSent     bool
	// decidedBefore is the highest decided version when the attempt began.
	decidedBefore int8
}

// reader is one quorum read without a claim.
type reader struct {
	began         bool
	ended         bool
	voterSet      int8
	answered      uint8
	slots         [voterCount]slot
	decidedBefore int8
}

// state is the complete state of a run. It is comparable, so that each state is explored once.
type state struct {
	disks    [voterCount]disk
	attempts [attemptCount]attempt
	reader   reader
	// copied says which reconfigurers have read the sealed slots, and copies has what they read.
	copied [reconfigurerCount]bool
	copies [reconfigurerCount]slot
	sealed uint8
	// decided has the decided value of each version. maxDecided is the highest such version.
	decided    [maxVersion + 1]int8
	maxDecided int8
}

func (s *state) serves(voter int, voterSet int8) bool {
	voterDisk := s.disks[voter]
	return voterDisk.voterSet == voterSet && !voterDisk.sealed && !voterDisk.wiped && contains(members[voterSet], voter)
}
