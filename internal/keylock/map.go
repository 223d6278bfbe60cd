package keylock

import (
	"hash/maphash"
	"sync"
)

const shardCount = 16

// Map is a sharded map. Each shard has a lock of its own that is held only during an access.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

// shard is one part of a Map. mu guards values.
type shard[K comparable, V any] struct {
	mu     sync.Mutex
	values map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].values = map[K]V{}
	}
	return m
}

func (m *Map[K, V]) shardOf(key K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

// Update calls update with the value of a key, under the shard's lock. update returns the new
// value, and whether to store it. If it is not stored, the key is deleted.
func (m *Map[K, V]) Update(key K, update func(value V, ok bool) (V, bool)) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.values[key]
	if value, ok = update(value, ok); ok {
		s.values[key] = value
	} else {
		delete(s.values, key)
	}
}

// Get returns the value of a key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.values[key]
	return value, ok
}

// Range calls each with a copy of every pair. No lock is held during the calls.
func (m *Map[K, V]) Range(each func(K, V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		keys := make([]K, 0, len(s.values))
		values := make([]V, 0, len(s.values))
		for key, value := range s.values {
			keys, values = append(keys, key), append(values, value)
		}
		s.mu.Unlock()
		for n := range keys {
			each(keys[n], values[n])
		}
	}
}
