package node

import (
	"context"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/control/acceptor"
	"postjunction/internal/disk/identity"
	"postjunction/internal/disk/journal"
	"postjunction/internal/event"
	"postjunction/internal/gossip"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/recordtype"
	"postjunction/internal/voters"
)

// openDisk loads the journal into the parts that persist state, claims the disk for this node and
// starts those parts.
func (n *Node) openDisk(ctx context.Context) error {
	if err := n.openJournal(); err != nil {
		return err
	}
	if err := n.identity.Check(n.opts.Name); err != nil {
		return err
	}
	n.wg.Go(func() { n.journal.Run(ctx) })
	isNew, err := n.identity.Claim(ctx, n.journal, n.opts.Name)
	if err != nil {
		return err
	}
	incarnation := n.identity.Get().Incarnation
	if isNew {
		n.log.Log(event.DiskNew, "incarnation", incarnation)
	}
	n.replica.Start(incarnation, n.journal)
	n.acceptor.Start(incarnation, n.journal, n.confirmBootstrap, func(set voters.Set) {
		n.Store.Apply(gossip.Update{VoterSet: &set})
	})
	return nil
}

func (n *Node) openJournal() error {
	n.identity, n.acceptor, n.replica = &identity.Part{}, acceptor.New(), replica.New(n.env.Clock)
	parts := map[uint16]journal.Part{
		recordtype.Identity:  n.identity,
		recordtype.Slot:      n.acceptor,
		recordtype.VoterSet:  n.acceptor,
		recordtype.Addresses: n.addressBook,
	}
	for _, recordType := range replica.RecordTypes() {
		parts[recordType] = n.replica
	}
	order := []journal.Part{n.identity, n.acceptor, n.addressBook, n.replica}
	opened, report, err := journal.Open(n.env.Disk, n.env.Clock, parts, order)
	if err != nil {
		return err
	}
	opened.SetCapacity(int64(n.opts.DiskMB)<<20, n.timing().ReconcileInterval())
	n.journal = opened
	n.log.Log(event.DiskOpened, "records", report.Records)
	if report.Torn > 0 {
		n.log.Log(event.DiskTorn, "records", report.Torn)
	}
	if report.Damaged {
		n.log.Log(event.DiskDamaged, "problem", report.Cause)
	}
	return nil
}

// confirmBootstrap returns why this node doesn't agree to a proposed first voter set, nil if it
// does.
func (n *Node) confirmBootstrap(set voters.Set) error {
	ctx, stop := context.WithTimeout(context.Background(), n.timing().CallTimeout())
	defer stop()
	return n.bootstrapper.Agree(ctx, set)
}

// superviseDisk checks the disk every reconcile interval until ctx ends. It binds the disk to the
// fleet, stores the addresses of members, drops replicas that were moved elsewhere, records whether
// the disk accepts writes, and scrubs its records.
func (n *Node) superviseDisk(ctx context.Context) {
	timing, clk := n.timing(), n.env.Clock
	lastScrub, lastDrop := clk.Now(), clk.Now()
	for clk.Sleep(ctx, timing.ReconcileInterval()) == nil {
		if err := n.joinFleet(ctx); apierror.HasCode(err, apierror.DiskForeign) {
			if n.setDiskHealth(string(apierror.DiskForeign)) {
				n.log.Log(event.DiskFailed, "problem", err)
			}
			continue
		}
		n.storeAddresses(ctx)
		if clk.Now().Sub(lastDrop) > timing.SweepInterval() {
			lastDrop = clk.Now()
			n.leaders.DropOrphans(ctx)
		}
		if err := n.probeDisk(ctx, timing.CallTimeout()); err != nil && ctx.Err() == nil {
			if n.setDiskHealth(string(apierror.From(err).Code)) {
				n.log.Log(event.DiskFailed, "problem", err)
			}
			continue
		}
		if n.setDiskHealth("") {
			n.log.Log(event.DiskRecovered)
		}
		if clk.Now().Sub(lastScrub) > timing.SweepInterval() {
			lastScrub = clk.Now()
			n.scrub(ctx)
		}
	}
}

// joinFleet binds the disk to the fleet, once this node knows the fleet's name. It returns
// DiskForeign for a disk of another fleet.
func (n *Node) joinFleet(ctx context.Context) error {
	fleet := n.Store.VoterSet().Fleet
	if fleet == "" {
		return nil
	}
	return n.identity.Join(ctx, n.journal, fleet)
}

// storeAddresses stores the address book of a node that knows its fleet. It does not report an
// error: the next call tries again, and a disk that fails is reported by probeDisk.
func (n *Node) storeAddresses(ctx context.Context) {
	if n.Store.VoterSet().Fleet == "" {
		return
	}
	ctx, stop := context.WithTimeout(ctx, n.timing().CallTimeout())
	defer stop()
	_ = n.addressBook.Store(ctx, n.journal)
}

// probeDisk returns why the disk accepts no writes, nil if it does. Only a failed disk is probed,
// so that probing adds no writes to a healthy one.
func (n *Node) probeDisk(ctx context.Context, timeout time.Duration) error {
	if n.journal.Failure() == nil {
		return nil
	}
	return n.journal.Probe(ctx, timeout)
}

// setDiskHealth sets the disk's health and reports whether it changed.
func (n *Node) setDiskHealth(health string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.diskHealth
	n.diskHealth = health
	return previous != health
}

func (n *Node) scrub(ctx context.Context) {
	records, damaged, err := n.journal.Scrub(ctx)
	if damaged > 0 {
		n.log.Log(event.ScrubDamaged, "records", records, "damaged", damaged, "problem", err)
	} else {
		n.log.Log(event.RepairSwept, "records", records)
	}
}
