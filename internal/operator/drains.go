package operator

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/control/registerclient"
	"postjunction/internal/event"
	"postjunction/internal/membership"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/placement/decommission"
	"postjunction/internal/quorum"
	"postjunction/internal/settings"
)

// drainList is the list of drains with the count of writes that a change of it builds on.
type drainList struct {
	writes uint64
	list   decommission.Orders
}

func parseDrains(v acceptor.Value) (drainList, error) {
	l, err := decommission.Parse(v.Body)
	return drainList{v.Version, l}, err
}

// ListDecommissions lists the machines that are being or were emptied.
func (s *Service) ListDecommissions(ctx context.Context) (any, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	c, err := readAs(ctx, s, decommission.Key, parseDrains)
	if err != nil {
		return nil, err
	}
	return map[string]any{"drains": c.value.list.Sorted()}, nil
}

// DecommissionStatus tells how far the emptying of a machine is. One that held nothing when it was asked for counts as done.
func (s *Service) DecommissionStatus(ctx context.Context, node string) (decommission.Order, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	c, err := readAs(ctx, s, decommission.Key, parseDrains)
	if err != nil {
		return decommission.Order{}, err
	}
	if x, ok := c.value.list[node]; ok {
		return x, nil
	}
	x, err := s.judge(ctx, node, c)
	switch {
	case apierror.HasCode(err, apierror.AlreadyEmpty):
		return x, nil
	case err != nil && !apierror.HasCode(err, apierror.DecommissionUnsafe):
		return decommission.Order{}, err
	}
	return decommission.Order{}, c.refuse(apierror.UnknownNode, "the emptying of %q was not asked for", node)
}

// Decommission asks for a machine to be emptied. The order is recorded and carried out whoever has the placement duty. The same
// order again is a yes, or already_empty once it is done.
func (s *Service) Decommission(ctx context.Context, node string) (any, error) {
	ctx, stop := s.limit(ctx)
	defer stop()
	for {
		c, err := readAs(ctx, s, decommission.Key, parseDrains)
		if err != nil {
			return nil, err
		}
		if x := c.value.list[node]; c.value.list.Excludes(node) {
			if x.Done {
				return nil, c.refuse(apierror.AlreadyEmpty, "%s was emptied before", node)
			}
			return x, nil
		}
		x, err := s.judge(ctx, node, c)
		if err != nil {
			return nil, err
		}
		if !c.value.list.Add(x) {
			return nil, c.refuse(apierror.DecommissionUnsafe, "%d machines are being emptied, which is the most", decommission.MaxOrders)
		}
		_, err = s.Client.Change(ctx, decommission.Key, c.value.writes, registerclient.NewChangeID(), c.value.list.Marshal())
		if err == nil {
			s.Log.Log(event.DecommissionRequested, "node", node, "partitions", x.RemainingRecords)
			return x, nil
		}
		again := apierror.HasCode(err, apierror.StaleBase) || apierror.HasCode(err, apierror.StaleVoterSet) && s.Clock.Sleep(ctx, s.Timing.MaxBackoff()) == nil
		if !again || ctx.Err() != nil {
			return nil, outcome(true, err)
		}
	}
}

// judge makes the order to empty a machine, or tells why that can't be asked for. It rests on all records, each read by
// quorum, and on the machines that a majority of the control nodes knows.
func (s *Service) judge(ctx context.Context, node string, drains confirmed[drainList]) (decommission.Order, error) {
	left, err := s.holdings(ctx, node)
	if err != nil {
		return decommission.Order{}, err
	}
	all, err := s.askMajority(ctx)
	if err != nil {
		return decommission.Order{}, err
	}
	seen := all.value[node]
	x := decommission.Order{Node: node, RequestedAt: time.Now().UTC(), RemainingRecords: left.value}
	storage, withDisk := false, len(seen) == 0 && left.value > 0
	for _, i := range seen {
		x.BootID, x.Disk = i.BootID, i.Incarnation
		storage = storage || i.Disk == settings.DiskStorage
		withDisk = withDisk || i.Disk != settings.DiskNone
	}
	if !withDisk {
		return x, all.refuse(apierror.UnknownNode, "%q is no machine with a disk of this fleet", node)
	}
	if left.value == 0 && !storage {
		x.Done = true
		return x, all.refuse(apierror.AlreadyEmpty, "%s holds no partition", node)
	}
	rest, needed := serving(all.value, drains.value.list, node), s.Store.VoterSet().Layout.ReplicationFactor()
	if rest < needed {
		return x, all.refuse(apierror.DecommissionUnsafe, "without %s only %d machines with disks serve, %d are needed to bear a loss", node, rest, needed)
	}
	return x, nil
}

// parseRecord reads a partition's record; one that was never written names nobody.
func parseRecord(p int, v acceptor.Value) (assignment.Record, error) {
	if len(v.Body) == 0 {
		return assignment.Record{Partition: p}, nil
	}
	r, err := assignment.Parse(v.Body, v.Version)
	return r, apierror.Wrap(apierror.Internal, err, "read the record of partition %d", p)
}

// holdings counts the records that name a machine.
func (s *Service) holdings(ctx context.Context, node string) (c confirmed[int], err error) {
	var ps []int
	for p := range s.Store.VoterSet().Layout.PartitionCount() {
		ps = append(ps, p)
	}
	for _, a := range quorum.Gather(ctx, ps, func(ctx context.Context, p int) (confirmed[bool], error) {
		return readAs(ctx, s, assignment.Key(p), func(v acceptor.Value) (bool, error) {
			r, err := parseRecord(p, v)
			return r.Holds(node), err
		})
	}, nil) {
		if a.Err != nil {
			return c, a.Err
		}
		if a.Value.value {
			c.value++
		}
	}
	return c, nil
}

// serving counts the other machines that can hold copies: those that some control node of the majority knows as such.
func serving(all machines, drains decommission.Orders, but string) int {
	n := 0
	for name, seen := range all {
		able := false
		for _, i := range seen {
			able = able || i.Disk != settings.DiskNone && i.DiskHealth == "" && i.Stage == membership.Serving
		}
		if able && name != but && !drains.Excludes(name) {
			n++
		}
	}
	return n
}
