package operator

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/membership"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// versionedOrders are the decommission orders with the version that a change to them builds on.
type versionedOrders struct {
	version uint64
	orders  decommission.Orders
}

func parseOrders(value acceptor.Value) (versionedOrders, error) {
	orders, err := decommission.Parse(value.Body)
	return versionedOrders{value.Version, orders}, err
}

func (s *Service) readOrders(ctx context.Context) (confirmed[versionedOrders], error) {
	return readAs(ctx, s, decommission.Key, parseOrders)
}

// ListDecommissions returns all decommission orders, finished ones too, under "drains".
func (s *Service) ListDecommissions(ctx context.Context) (any, error) {
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	current, err := s.readOrders(ctx)
	if err != nil {
		return nil, err
	}
	return map[string]any{"drains": current.value.orders.Sorted()}, nil
}

// DecommissionStatus returns the decommission order of a machine, with its progress. A machine that
// has no order and nothing to empty counts as done. Any other machine without an order fails with
// code UnknownNode.
func (s *Service) DecommissionStatus(ctx context.Context, node string) (decommission.Order, error) {
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	current, err := s.readOrders(ctx)
	if err != nil {
		return decommission.Order{}, err
	}
	if order, ok := current.value.orders[node]; ok {
		return order, nil
	}
	order, err := s.newOrder(ctx, node, current)
	switch {
	case apierror.HasCode(err, apierror.AlreadyEmpty):
		return order, nil
	case err != nil && !apierror.HasCode(err, apierror.DecommissionUnsafe):
		return decommission.Order{}, err
	}
	return decommission.Order{}, current.refuse(apierror.UnknownNode, "%q was not asked to be emptied", node)
}

// Decommission orders a machine to be emptied. The order is recorded in a register, and carried out
// by whichever control node runs the placement controller. An order that is repeated succeeds, or
// fails with code AlreadyEmpty once it is done. Decommission fails with code DecommissionUnsafe if
// too few machines would be left, and with UnknownNode for a machine that no control node knows as
// one with a disk.
func (s *Service) Decommission(ctx context.Context, node string) (any, error) {
	ctx, cancel := s.withDeadline(ctx)
	defer cancel()
	for {
		current, err := s.readOrders(ctx)
		if err != nil {
			return nil, err
		}
		orders := current.value.orders
		if orders.Excludes(node) {
			if orders[node].Done {
				return nil, current.refuse(apierror.AlreadyEmpty, "%s was emptied before", node)
			}
			return orders[node], nil
		}
		order, err := s.newOrder(ctx, node, current)
		if err != nil {
			return nil, err
		}
		if !orders.Add(order) {
			return nil, current.refuse(apierror.DecommissionUnsafe,
				"%d machines are being emptied, which is the most", decommission.MaxOrders)
		}
		changeID := registerclient.NewChangeID()
		_, err = s.Client.Change(ctx, decommission.Key, current.value.version, changeID, orders.Marshal())
		if err == nil {
			s.Log.Log(event.DecommissionRequested, "node", node, "partitions", order.RemainingRecords)
			return order, nil
		}
		if !s.canRetry(ctx, err) {
			return nil, outcomeError(true, err)
		}
	}
}

// canRetry reports whether a failed change was certainly not made and should be tried again. It
// pauses first if the voter set is being changed.
func (s *Service) canRetry(ctx context.Context, err error) bool {
	if apierror.HasCode(err, apierror.StaleBase) {
		return ctx.Err() == nil
	}
	if !apierror.HasCode(err, apierror.StaleVoterSet) {
		return false
	}
	return s.Clock.Sleep(ctx, s.Timing.MaxBackoff()) == nil && ctx.Err() == nil
}

// newOrder makes the order to empty a machine, or returns why that is not possible. It is based on
// all assignment records, each read by quorum, and on the machines that a majority of the control
// nodes knows.
func (s *Service) newOrder(
	ctx context.Context, node string, current confirmed[versionedOrders],
) (decommission.Order, error) {
	remaining, err := s.countRecordsOn(ctx, node)
	if err != nil {
		return decommission.Order{}, err
	}
	known, err := s.askMajority(ctx)
	if err != nil {
		return decommission.Order{}, err
	}
	order := decommission.Order{Node: node, RequestedAt: time.Now().UTC(), RemainingRecords: remaining.value}
	infos := known.value[node]
	isStorage, hasDisk := false, len(infos) == 0 && remaining.value > 0
	for _, info := range infos {
		order.BootID, order.Disk = info.BootID, info.Incarnation
		isStorage = isStorage || info.Disk == settings.DiskStorage
		hasDisk = hasDisk || info.Disk != settings.DiskNone
	}
	if !hasDisk {
		return order, known.refuse(apierror.UnknownNode, "%q is no machine with a disk of this fleet", node)
	}
	if remaining.value == 0 && !isStorage {
		order.Done = true
		return order, known.refuse(apierror.AlreadyEmpty, "%s holds no partition", node)
	}
	needed := s.Store.VoterSet().Layout.ReplicationFactor()
	others := countServing(known.value, current.value.orders, node)
	if others < needed {
		return order, known.refuse(apierror.DecommissionUnsafe,
			"without %s only %d machines with disks serve, %d are needed to tolerate a loss", node, others, needed)
	}
	return order, nil
}

// countRecordsOn counts the assignment records that name a machine.
func (s *Service) countRecordsOn(ctx context.Context, node string) (count confirmed[int], err error) {
	results := quorum.Gather(ctx, s.partitions(), func(ctx context.Context, partition int) (confirmed[bool], error) {
		return readAs(ctx, s, assignment.Key(partition), func(value acceptor.Value) (bool, error) {
			record, err := parseRecord(partition, value)
			return record.Includes(node), err
		})
	}, nil)
	for _, result := range results {
		if result.Err != nil {
			return count, result.Err
		}
		if result.Value.value {
			count.value++
		}
	}
	return count, nil
}

// countServing counts the other machines that can hold replicas: those that some control node of
// the majority knows as such.
func countServing(known machines, orders decommission.Orders, except string) int {
	count := 0
	for name, infos := range known {
		serves := false
		for _, info := range infos {
			healthy := info.Disk != settings.DiskNone && info.DiskHealth == ""
			serves = serves || healthy && info.Stage == membership.Serving
		}
		if serves && name != except && !orders.Excludes(name) {
			count++
		}
	}
	return count
}
