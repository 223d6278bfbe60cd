package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/settings"
)

func TestWithMembers_KeepsFormerMembersAndOrder(t *testing.T) {
	first := []Info{{PeerAddr: "1", Disk: settings.DiskControl}, {PeerAddr: "2", Disk: settings.DiskNone}}
	addresses := withMembers(nil, first)
	assert.DeepEqual(t, addresses, []Address{{"1", true}, {"2", false}})

	addresses = withMembers(addresses, []Info{{PeerAddr: "3", Disk: settings.DiskStorage}})
	assert.DeepEqual(t, addresses, []Address{{"3", false}, {"1", true}, {"2", false}})

	assert.DeepEqual(t, withMembers(addresses, first), addresses)

	addresses = withMembers(addresses, []Info{{PeerAddr: "2", Disk: settings.DiskControl}})
	assert.DeepEqual(t, addresses, []Address{{"3", false}, {"1", true}, {"2", true}})
}

func TestWithMembers_DropsTheOldestFormerMembers(t *testing.T) {
	var addresses []Address
	for i := range maxAddresses {
		addresses = append(addresses, Address{Addr: fmt.Sprint(i)})
	}
	last := addresses[maxAddresses-1].Addr
	updated := withMembers(addresses, []Info{{PeerAddr: "new"}, {PeerAddr: last}})
	assert.Equal(t, len(updated), maxAddresses+1, "a present member is kept")
	assert.Equal(t, updated[0].Addr, "new")
	assert.Equal(t, updated[maxAddresses].Addr, last)

	updated = withMembers(updated, []Info{{PeerAddr: "new"}})
	assert.Equal(t, len(updated), maxAddresses)
}

func TestAddressBook_SampleHasAllControlNodes(t *testing.T) {
	book := &AddressBook{addresses: []Address{{"1", false}, {"2", true}, {"3", false}, {"4", true}}}
	assert.DeepEqual(t, book.Control(), []string{"2", "4"})
	sample := book.Sample(1)
	assert.DeepEqual(t, sample[:2], []string{"2", "4"})
	assert.Equal(t, len(sample), 3)
	assert.Equal(t, len(book.Sample(10)), 4)
}
