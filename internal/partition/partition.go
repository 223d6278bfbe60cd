// Package partition maps topics and visitors to partitions by one hash.
package partition

import (
	"hash/fnv"

	"postjunction/internal/control/roster"
)

func hash(s string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return h.Sum32()
}

// Of gives the partition of a topic.
func Of(topic string, urgent bool, l roster.Layout) int {
	if urgent {
		return l.Routine + int(hash(topic)%uint32(l.Urgent))
	}
	return int(hash(topic) % uint32(l.Routine))
}

// OfVisitor gives the partition that keeps a visitor's attachment.
func OfVisitor(name string, l roster.Layout) int { return Of("\x1fvisitors/"+name, false, l) }

// Urgent tells whether a partition is one of the urgent ones.
func Urgent(p int, l roster.Layout) bool { return p >= l.Routine }
