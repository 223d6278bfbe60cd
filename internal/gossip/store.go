package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"sync"

	"postjunction/internal/assignment"
	"postjunction/internal/configuration"
	"postjunction/internal/voters"
)

// Store holds the newest voter set, configuration and partition records that a node knows. Nothing
// in it ever goes back to an older version. It is safe for use by several goroutines.
type Store struct {
	// onUpdate, which may be nil, is called without the lock.
	onUpdate func(Update)

	// mu guards all below.
	mu            sync.Mutex
	voterSet      voters.Set
	configuration configuration.Config
	index         *configuration.Index
	records       map[int]assignment.Record
	// recentChanges are the last changes that led to configuration, oldest first.
	recentChanges []configuration.Change
	// needsComplete says that a change didn't come out, so that the next configuration has to come
	// complete.
	needsComplete bool
	// ownershipUpdates counts updates of the voter set or of records.
	ownershipUpdates uint64
	// changed is closed, and replaced, at the next update.
	changed chan struct{}
	// hash is the result of Hash, 0 while it isn't computed.
	hash uint64
}

// NewStore returns an empty store. onUpdate, if not nil, is called with what was new in each
// update.
func NewStore(onUpdate func(Update)) *Store {
	return &Store{
		onUpdate: onUpdate,
		index:    configuration.NewIndex(configuration.Config{}),
		records:  map[int]assignment.Record{},
		changed:  make(chan struct{}),
	}
}

// Apply takes in an update and returns the part that was new here. A voter set of another fleet is
// ignored.
func (s *Store) Apply(update Update) Update {
	fresh := s.apply(update)
	if !fresh.Empty() && s.onUpdate != nil {
		s.onUpdate(fresh)
	}
	return fresh
}

func (s *Store) apply(update Update) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh Update
	if s.isNewVoterSet(update.VoterSet) {
		s.voterSet, fresh.VoterSet = *update.VoterSet, update.VoterSet
	}
	if fresh.Configuration = s.applyConfiguration(update); fresh.Configuration != nil {
		s.needsComplete = false
	}
	for _, record := range update.Records {
		if record.Version > s.records[record.Partition].Version {
			s.records[record.Partition] = record
			fresh.Records = append(fresh.Records, record)
		}
	}
	if fresh.VoterSet != nil || len(fresh.Records) > 0 {
		s.ownershipUpdates++
	}
	if !fresh.Empty() {
		s.hash = 0
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return fresh
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

// Record returns the newest record of a partition, the zero value where none is known.
func (s *Store) Record(partition int) assignment.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[partition]
}

// Hash returns a number that stores with the same versions have in common, never 0.
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

// Digest returns how new the store is.
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
