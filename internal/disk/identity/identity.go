// Package identity is the first record of a disk: whose it is, and the random name of this incarnation.
package identity

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"sync"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/journal"
	"postjunction/internal/recordtype"
)

// Identity names a disk.
type Identity struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Fleet       string `json:"fleet,omitempty"`
}

// Part keeps the identity in the journal.
type Part struct {
	mu sync.Mutex
	id Identity
}

// Restore takes back the record.
func (p *Part) Restore(r journal.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return apierror.Wrap(apierror.DiskDamaged, json.Unmarshal(r.Body, &p.id), "read the identity of the disk")
}

func (p *Part) rec(i Identity) journal.Record {
	b, _ := json.Marshal(i)
	return journal.Record{Kind: recordtype.Identity, Body: b}
}

// LiveSize counts the record.
func (p *Part) LiveSize() (int, int64) { return 1, int64(len(p.rec(p.Get()).Body)) }

// Slices gives the record.
func (p *Part) Slices() []journal.Slice {
	return journal.EncodeAll(func() []journal.Record { return []journal.Record{p.rec(p.Get())} })
}

// Get gives the identity.
func (p *Part) Get() Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// Check turns a disk away that belongs to another node.
func (p *Part) Check(node string) error {
	if i := p.Get(); i.Node != "" && i.Node != node {
		return apierror.New(apierror.DiskForeign, "the data folder is node %s's, the settings name %s", i.Node, node)
	}
	return nil
}

const nameBytes = 8

// Claim names a new disk; it tells whether the disk was new.
func (p *Part) Claim(ctx context.Context, j *journal.Journal, node string) (bool, error) {
	if p.Get().Incarnation != "" {
		return false, nil
	}
	var b [nameBytes]byte
	_, _ = rand.Read(b[:])
	i := Identity{Node: node, Incarnation: hex.EncodeToString(b[:])}
	return true, j.Put(ctx, true, func() { p.set(i) }, p.rec(i))
}

func (p *Part) set(i Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = i
}

// Join notes the fleet that the disk is of; a disk of another fleet is turned away.
func (p *Part) Join(ctx context.Context, j *journal.Journal, fleet string) error {
	i := p.Get()
	if i.Fleet == fleet {
		return nil
	}
	if i.Fleet != "" {
		return apierror.New(apierror.DiskForeign, "the data folder is of fleet %s, this fleet is %s", i.Fleet, fleet)
	}
	i.Fleet = fleet
	return j.Put(ctx, true, func() { p.set(i) }, p.rec(i))
}
