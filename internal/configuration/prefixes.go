package configuration

import "slices"

// prefixMap finds values by the prefixes of a name. It does one look-up for each distinct length of
// its prefixes, longest first. The zero value is empty and ready to use.
type prefixMap[V any] struct {
	values  map[string]V
	lengths []int // distinct lengths of the prefixes, descending
}

func (m *prefixMap[V]) add(prefix string, value V) {
	if m.values == nil {
		m.values = map[string]V{}
	}
	m.values[prefix] = value
	descending := func(a, b int) int { return b - a }
	if i, ok := slices.BinarySearchFunc(m.lengths, len(prefix), descending); !ok {
		m.lengths = slices.Insert(m.lengths, i, len(prefix))
	}
}

// each calls yield for the values whose prefix begins the name, longest prefix first, until yield
// returns false.
func (m *prefixMap[V]) each(name string, yield func(prefix string, value V) bool) {
	for _, length := range m.lengths {
		if length > len(name) {
			continue
		}
		if value, ok := m.values[name[:length]]; ok && !yield(name[:length], value) {
			return
		}
	}
}

// longest returns the value of the longest prefix that begins the name.
func (m *prefixMap[V]) longest(name string) (value V, ok bool) {
	for _, length := range m.lengths {
		if length > len(name) {
			continue
		}
		if value, ok = m.values[name[:length]]; ok {
			return value, true
		}
	}
	return value, false
}
