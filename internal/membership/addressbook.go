package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/recordtype"
	"postjunction/internal/settings"
)

// maxAddresses is how many addresses an AddressBook keeps. Those of present members are kept beyond
// it.
const maxAddresses = 512

// Address is the peer address of a present or former member.
type Address struct {
	Addr string `json:"addr"`
	// IsControl reports that it is the address of a control node.
	IsControl bool `json:"control,omitempty"`
}

// AddressBook has the peer addresses of present and former members. A node with a disk stores it in
// its journal. So nodes find one another again after all have restarted, though the seeds of their
// settings are gone. Its addresses are hints: whoever answers there need not be a member.
type AddressBook struct {
	// mu guards addresses and stored. Both have the newest address first and are never changed in
	// place. stored is what the journal has.
	mu        sync.Mutex
	addresses []Address
	stored    []Address
}

// Observe adds the addresses of members.
func (b *AddressBook) Observe(members []Info) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = withMembers(b.addresses, members)
}

// Store writes the book to the journal if it has changed since the last time. It returns what
// journal.Put returns.
func (b *AddressBook) Store(ctx context.Context, disk *journal.Journal) error {
	b.mu.Lock()
	addresses, isStored := b.addresses, slices.Equal(b.addresses, b.stored)
	b.mu.Unlock()
	if isStored {
		return nil
	}
	return disk.Put(ctx, false, func() { b.setStored(addresses) }, addressRecord(addresses))
}

// withMembers returns the addresses with those of the members added in front. Beyond maxAddresses,
// the oldest addresses at which there is no member are dropped.
func withMembers(addresses []Address, members []Info) []Address {
	var updated []Address
	present := map[string]Address{}
	for _, member := range members {
		present[member.PeerAddr] = Address{Addr: member.PeerAddr, IsControl: member.Disk == settings.DiskControl}
	}
	known := map[string]bool{}
	for _, address := range addresses {
		known[address.Addr] = true
	}
	for _, member := range members {
		if !known[member.PeerAddr] {
			updated = append(updated, present[member.PeerAddr])
			known[member.PeerAddr] = true
		}
	}
	for _, address := range addresses {
		member, isPresent := present[address.Addr]
		switch {
		case isPresent:
			updated = append(updated, member)
		case len(updated) < maxAddresses:
			updated = append(updated, address)
		}
	}
	return updated
}

// All returns all addresses.
func (b *AddressBook) All() []string { return addressesOf(b.all()) }

// Control returns the addresses of control nodes.
func (b *AddressBook) Control() []string { return addressesOf(controlAddresses(b.all())) }

// Sample returns the addresses of control nodes, and up to count others that are chosen at random.
func (b *AddressBook) Sample(count int) []string {
	addresses := b.all()
	others := slices.DeleteFunc(slices.Clone(addresses), func(address Address) bool { return address.IsControl })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return addressesOf(append(controlAddresses(addresses), others[:min(count, len(others))]...))
}

func controlAddresses(addresses []Address) []Address {
	return slices.DeleteFunc(slices.Clone(addresses), func(address Address) bool { return !address.IsControl })
}

func addressesOf(addresses []Address) []string {
	var plain []string
	for _, address := range addresses {
		plain = append(plain, address.Addr)
	}
	return plain
}

func (b *AddressBook) all() []Address {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.addresses
}

func (b *AddressBook) setStored(addresses []Address) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = addresses
}

func addressRecord(addresses []Address) journal.Record {
	body, _ := json.Marshal(addresses)
	return journal.Record{Kind: recordtype.Addresses, Body: body}
}

// Restore restores the book from its record.
func (b *AddressBook) Restore(r journal.Record) error {
	var addresses []Address
	if err := json.Unmarshal(r.Body, &addresses); err != nil {
		return apierror.Wrap(apierror.DiskDamaged, err, "read the addresses of members")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses, b.stored = addresses, addresses
	return nil
}

// LiveSize counts the record.
func (b *AddressBook) LiveSize() (records int, bytes int64) {
	for _, record := range b.records() {
		records, bytes = records+1, bytes+int64(len(record.Body))
	}
	return records, bytes
}

// Slices returns the record.
func (b *AddressBook) Slices() []journal.Slice { return journal.EncodeAll(b.records) }

// records returns the stored record of the book, none before the first.
func (b *AddressBook) records() []journal.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.stored) == 0 {
		return nil
	}
	return []journal.Record{addressRecord(b.stored)}
}
