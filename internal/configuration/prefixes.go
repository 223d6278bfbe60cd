package configuration

import "slices"

// prefixes finds entries by the beginnings of a name: one look for each length that any prefix has, longest first.
type prefixes[V any] struct {
	by      map[string]V
	lengths []int
}

func (p *prefixes[V]) add(prefix string, v V) {
	if p.by == nil {
		p.by = map[string]V{}
	}
	p.by[prefix] = v
	if i, ok := slices.BinarySearchFunc(p.lengths, len(prefix), func(a, b int) int { return b - a }); !ok {
		p.lengths = slices.Insert(p.lengths, i, len(prefix))
	}
}

// each visits the entries whose prefix begins the name, longest first, until the visit says no.
func (p *prefixes[V]) each(name string, visit func(prefix string, v V) bool) {
	for _, n := range p.lengths {
		if n > len(name) {
			continue
		}
		if v, ok := p.by[name[:n]]; ok && !visit(name[:n], v) {
			return
		}
	}
}

func (p *prefixes[V]) longest(name string) (v V, ok bool) {
	for _, n := range p.lengths {
		if n <= len(name) {
			if v, ok = p.by[name[:n]]; ok {
				return v, true
			}
		}
	}
	return v, false
}
