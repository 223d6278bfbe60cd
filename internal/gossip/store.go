package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"sync"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
	"postjunction/internal/voters"
)

// Store has the newest voter set, configuration and partition records that a node knows. No part is
// ever replaced by an older version. It is safe for concurrent use.
type Store struct {
	// onUpdate, which may be nil, is called without the lock.
	onUpdate func(Update)

	// mu guards all fields below.
	mu            sync.Mutex
	voterSet      voters.Set
	configuration configuration.Config
	index         *configuration.Index
	records       map[int]assignment.Record
	// recentChanges are the last changes that led to configuration, oldest first.
	recentChanges []configuration.Change
	// needsComplete is set when a change could not be applied, so that the next configuration has
	// to be complete.
	needsComplete bool
	// ownershipUpdates counts updates of the voter set or of records.
	ownershipUpdates uint64
	// changed is closed, and replaced, at the next update.
	changed chan struct{}
	// hash is the cached result of Hash, 0 until it is computed.
	hash uint64
}

// NewStore returns an empty store. onUpdate, if not nil, is called with the new parts of each
// update.
func NewStore(onUpdate func(Update)) *Store {
	return &Store{
		onUpdate: onUpdate,
		index:    configuration.NewIndex(configuration.Config{}),
		records:  map[int]assignment.Record{},
		changed:  make(chan struct{}),
	}
}

// Apply applies an update and returns the part of it that was new. A voter set of another fleet is
// ignored.
func (s *Store) Apply(update Update) Update {
	applied := s.apply(update)
	if !applied.Empty() && s.onUpdate != nil {
		s.onUpdate(applied)
	}
	return applied
}

func (s *Store) apply(update Update) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	var applied Update
	if s.isNewVoterSet(update.VoterSet) {
		s.voterSet, applied.VoterSet = *update.VoterSet, update.VoterSet
	}
	if applied.Configuration = s.applyConfiguration(update); applied.Configuration != nil {
		s.needsComplete = false
	}
	for _, record := range update.Records {
		if record.Version > s.records[record.Partition].Version {
			s.records[record.Partition] = record
			applied.Records = append(applied.Records, record)
		}
	}
	if applied.VoterSet != nil || len(applied.Records) > 0 {
		s.ownershipUpdates++
	}
	if !applied.Empty() {
		s.hash = 0
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return applied
}

func (s *Store) isNewVoterSet(set *voters.Set) bool {
	return set != nil && set.Sequence > s.voterSet.Sequence &&
		(s.voterSet.Fleet == "" || s.voterSet.Fleet == set.Fleet)
}

// ownershipUpdateCount returns the number of updates so far of anything but configurations.
func (s *Store) ownershipUpdateCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownershipUpdates
}

// Changed returns a channel that is closed at the next update.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// VoterSet returns the newest voter set, the zero value before the first.
func (s *Store) VoterSet() voters.Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voterSet
}

// Record returns the newest record of a partition, or the zero value if none is known.
func (s *Store) Record(partition int) assignment.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[partition]
}

// Hash returns a hash of the versions of the store. It is never 0.
func (s *Store) Hash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hash != 0 {
		return s.hash
	}
	digest := s.digest()
	var buffer [binary.MaxVarintLen64]byte
	sum := fnv.New64a()
	for _, version := range append([]uint64{digest.VoterSet, digest.Configuration}, digest.Records...) {
		_, _ = sum.Write(binary.AppendUvarint(buffer[:0], version))
	}
	s.hash = sum.Sum64() | 1
	return s.hash
}

// Digest returns the versions of the store.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest()
}

func (s *Store) digest() Digest {
	digest := Digest{
		VoterSet:      s.voterSet.Sequence,
		Configuration: s.configuration.Sequence,
		Changes:       !s.needsComplete,
		Records:       make([]uint64, s.voterSet.Layout.PartitionCount()),
	}
	for partition := range digest.Records {
		digest.Records[partition] = s.records[partition].Version
	}
	return digest
}

// Since returns what the store has and a digest lacks.
func (s *Store) Since(digest Digest) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	var update Update
	if s.voterSet.Sequence > digest.VoterSet {
		voterSet := s.voterSet
		update.VoterSet = &voterSet
	}
	if !digest.ConfigurationPending {
		update.Configuration, update.Changes = s.configurationSince(digest.Configuration, digest.Changes)
	}
	for partition, record := range s.records {
		if partition >= len(digest.Records) || record.Version > digest.Records[partition] {
			update.Records = append(update.Records, record)
		}
	}
	return update
}

// lacksRecordsOf reports whether a digest has newer records than the store.
func (s *Store) lacksRecordsOf(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for partition, version := range digest.Records {
		if version > s.records[partition].Version {
			return true
		}
	}
	return false
}
