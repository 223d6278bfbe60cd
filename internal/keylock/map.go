package keylock

import (
	"hash/maphash"
	"sync"
)

const shardCount = 16

// Map keeps state in shards, each under its own short lock.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]shard[K, V]
}

type shard[K comparable, V any] struct {
	mu sync.Mutex
	m  map[K]V
}

// NewMap makes an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].m = map[K]V{}
	}
	return m
}

func (m *Map[K, V]) at(k K) *shard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, k)%shardCount]
}

// Update runs f on the value of k under the shard's lock; f tells whether the value stays.
func (m *Map[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	s := m.at(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	if v, ok = f(v, ok); ok {
		s.m[k] = v
	} else {
		delete(s.m, k)
	}
}

// Get gives the value of k.
func (m *Map[K, V]) Get(k K) (V, bool) {
	s := m.at(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.m[k]
	return v, ok
}

// Range runs f on a copy of every pair.
func (m *Map[K, V]) Range(f func(K, V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		ks := make([]K, 0, len(s.m))
		vs := make([]V, 0, len(s.m))
		for k, v := range s.m {
			ks, vs = append(ks, k), append(vs, v)
		}
		s.mu.Unlock()
		for n := range ks {
			f(ks[n], vs[n])
		}
	}
}
