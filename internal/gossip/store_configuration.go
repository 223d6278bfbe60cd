package gossip

import (
	"slices"

	"postjunction/internal/configuration"
)

// maxRecentChanges is how many changes of the configuration a store retains for nodes that are
// behind.
const maxRecentChanges = 8

// applyConfiguration applies a complete configuration, or changes to the current one, and returns
// the new one, or nil. A change with an unexpected result is ignored, and the next configuration
// has to be complete.
func (s *Store) applyConfiguration(update Update) *configuration.Config {
	previousSequence := s.configuration.Sequence
	if complete := update.Configuration; complete != nil && complete.Sequence > s.configuration.Sequence {
		next := *complete
		next.Source = ""
		if previousSequence > 0 {
			s.recentChanges = append(s.recentChanges, s.configuration.Change(next))
		}
		s.setConfiguration(next)
	}
	for _, change := range update.Changes {
		if change.From != s.configuration.Sequence {
			continue
		}
		next, ok := s.configuration.Apply(change)
		if !ok {
			s.needsComplete = true
			break
		}
		s.recentChanges = append(s.recentChanges, change)
		s.setConfiguration(next)
	}
	if s.configuration.Sequence == previousSequence {
		return nil
	}
	if excess := len(s.recentChanges) - maxRecentChanges; excess > 0 {
		s.recentChanges = slices.Clone(s.recentChanges[excess:])
	}
	latest := s.configuration
	return &latest
}

func (s *Store) setConfiguration(next configuration.Config) {
	s.index = s.index.Next(s.configuration, next)
	s.configuration = next
}

// Configuration returns the newest configuration, the zero value before the first.
func (s *Store) Configuration() configuration.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration
}

// Index returns the index of the newest configuration.
func (s *Store) Index() *configuration.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// AcceptsChanges reports whether changes of the configuration can be applied. They can't after a
// change with an unexpected result, until a complete configuration arrives.
func (s *Store) AcceptsChanges() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.needsComplete
}

// ConfigurationSince returns the newest configuration for a node that has the one numbered
// sequence. It returns changes if the node accepts them and they are known and small, and otherwise
// the complete one. Both results are nil if there is no newer one.
func (s *Store) ConfigurationSince(
	sequence uint64, acceptsChanges bool,
) (*configuration.Config, []configuration.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configurationSince(sequence, acceptsChanges)
}

func (s *Store) configurationSince(
	sequence uint64, acceptsChanges bool,
) (*configuration.Config, []configuration.Change) {
	if s.configuration.Sequence <= sequence {
		return nil, nil
	}
	if acceptsChanges {
		if changes := s.changesFrom(sequence); s.areSmall(changes) {
			return nil, slices.Clone(changes)
		}
	}
	complete := s.configuration
	return &complete, nil
}

// changesFrom returns the changes from the configuration numbered sequence to the newest one, or
// nil if they are no longer available.
func (s *Store) changesFrom(sequence uint64) []configuration.Change {
	first := slices.IndexFunc(s.recentChanges, func(change configuration.Change) bool {
		return change.From == sequence
	})
	if first < 0 {
		return nil
	}
	return s.recentChanges[first:]
}

// areSmall reports whether there are changes, and their size is at most half the number of spaces.
func (s *Store) areSmall(changes []configuration.Change) bool {
	size := 0
	for _, change := range changes {
		size += change.Size()
	}
	return len(changes) > 0 && size <= len(s.configuration.Spaces)/2
}
