package operator

import (
	"context"
	"strconv"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/membership"
	"postjunction/internal/partition"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/voters"
)

// Status is what a node knows about the fleet.
type Status struct {
	Node          membership.Info     `json:"node"`
	Control       string              `json:"session_with"`
	HoldsLease    bool                `json:"licensed"`
	Fleet         string              `json:"fleet"`
	Configuration uint64              `json:"description"`
	VoterSet      voters.Set          `json:"roster"`
	Members       []membership.Info   `json:"members"`
	Partitions    []assignment.Record `json:"partitions"`
	Leading       []leader.View       `json:"owned"`
}

// PartitionDetail is one partition's assignment record with its history, and the partition's
// tombstones if its leader answers.
type PartitionDetail struct {
	Topic  string            `json:"topic,omitempty"`
	Urgent bool              `json:"urgent"`
	Record assignment.Record `json:"record"`
	// Withdrawn is nil if no message in the partition has a key, or if the leader didn't answer.
	Withdrawn *leader.TombstoneView `json:"withdrawn,omitempty"`
}

// Status returns what this node knows about the fleet, a Status, without asking others.
func (s *Service) Status(context.Context) (any, error) {
	voterSet := s.Store.VoterSet()
	status := Status{
		Node:          s.Info(),
		Control:       s.ControlNode(),
		HoldsLease:    s.CheckLease() == nil,
		Fleet:         voterSet.Fleet,
		Configuration: s.Store.Configuration().Sequence,
		VoterSet:      voterSet,
		Members:       s.View.All(),
		Leading:       s.Leaders(),
	}
	for partition := range voterSet.Layout.PartitionCount() {
		record := s.Store.Record(partition).WithoutHistory()
		record.Partition = partition
		status.Partitions = append(status.Partitions, record)
	}
	return status, nil
}

// Counters returns this node's counters.
func (s *Service) Counters() any { return s.CountersByPart() }

// Partition returns the PartitionDetail of the partition with a number, or of a topic's partition.
// It fails with code Malformed if there is no partition with the number.
func (s *Service) Partition(ctx context.Context, number, topic string) (any, error) {
	layout := s.Store.VoterSet().Layout
	id, err := strconv.Atoi(number)
	if topic != "" {
		space, findErr := s.Store.Index().Find(topic)
		if findErr != nil {
			return nil, findErr
		}
		id, err = partition.Of(topic, space.Urgent, layout), nil
	}
	if err != nil || id < 0 || id >= layout.PartitionCount() {
		return nil, apierror.New(apierror.Malformed, "n must be from 0 to %d, is %q", layout.PartitionCount()-1, number)
	}
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	record, err := readAs(ctx, s, assignment.Key(id), func(value acceptor.Value) (assignment.Record, error) {
		return parseRecord(id, value)
	})
	if err != nil {
		return nil, err
	}
	detail := PartitionDetail{Topic: topic, Urgent: partition.Urgent(id, layout), Record: record.value}
	callCtx, cancelCall := context.WithTimeout(ctx, s.Timing.CallTimeout())
	defer cancelCall()
	// If the leader doesn't answer, Withdrawn is left out. The record is still useful.
	detail.Withdrawn, _ = s.Tombstones(callCtx, id)
	return detail, nil
}

// parseRecord parses a partition's assignment record. A record that was never written names no
// machine.
func parseRecord(partition int, value acceptor.Value) (assignment.Record, error) {
	if len(value.Body) == 0 {
		return assignment.Record{Partition: partition}, nil
	}
	record, err := assignment.Parse(value.Body, value.Version)
	return record, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", partition)
}
