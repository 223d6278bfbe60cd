// Package partition maps topics and clients to partitions by one hash.
//
// Every node must get the same partition for the same name, so the hash and the prefix of client
// names never change. Routine partitions are numbered from 0, urgent ones after them. The functions
// are pure.
package partition

import (
	"hash/fnv"

	"postjunction/internal/voters"
)

// None is the partition of everything before the layout is known.
const None = -1

// Of returns the partition of a topic, None before the layout is known.
func Of(topic string, urgent bool, layout voters.Layout) int {
	if urgent {
		return choose(topic, layout.RoutinePartitions, layout.UrgentPartitions)
	}
	return choose(topic, 0, layout.RoutinePartitions)
}

// OfClient returns the partition that records a client's attachment. There are two: a routine one,
// which numbers attachments, and an urgent one. Urgent calls ask the urgent one, so that they never
// use a routine partition.
func OfClient(name string, urgent bool, layout voters.Layout) int {
	return Of("\x1fvisitors/"+name, urgent, layout)
}

// Urgent reports whether a partition is one of the urgent ones.
func Urgent(partition int, layout voters.Layout) bool { return partition >= layout.RoutinePartitions }

// choose returns one of count partitions, which are numbered from first.
func choose(name string, first, count int) int {
	if count <= 0 {
		return None
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return first + int(hash.Sum32()%uint32(count))
}
