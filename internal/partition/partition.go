// Package partition maps topics and visitors to partitions by one hash.
package partition

import (
	"hash/fnv"

	"postjunction/internal/control/voters"
)

// None is the partition of everything before the layout is known.
const None = -1

func pick(s string, from, n int) int {
	if n <= 0 {
		return None
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(s))
	return from + int(h.Sum32()%uint32(n))
}

// Of gives the partition of a topic.
func Of(topic string, urgent bool, l voters.Layout) int {
	if urgent {
		return pick(topic, l.RoutinePartitions, l.UrgentPartitions)
	}
	return pick(topic, 0, l.RoutinePartitions)
}

// OfClient gives the partition that keeps a visitor's attachment. There are two: a routine one, which numbers attachments,
// and an urgent one, which urgent calls ask, so that they never meet a routine partition.
func OfClient(name string, urgent bool, l voters.Layout) int {
	return Of("\x1fvisitors/"+name, urgent, l)
}

// Urgent tells whether a partition is one of the urgent ones.
func Urgent(p int, l voters.Layout) bool { return p >= l.RoutinePartitions }
