// Package identity stores the identity of a disk as its first record: the node and fleet that it
// belongs to, and the random name of this incarnation.
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

// Part stores the identity in the journal.
type Part struct {
	mu sync.Mutex // guards id
	id Identity
}

// Restore restores the record.
func (p *Part) Restore(r journal.Record) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return apierror.Wrap(apierror.DiskDamaged, json.Unmarshal(r.Body, &p.id), "read the identity of the disk")
}

func (p *Part) record(id Identity) journal.Record {
	b, _ := json.Marshal(id)
	return journal.Record{Kind: recordtype.Identity, Body: b}
}

// LiveSize counts the record.
func (p *Part) LiveSize() (int, int64) { return 1, int64(len(p.record(p.Get()).Body)) }

// Slices returns the record.
func (p *Part) Slices() []journal.Slice {
	return journal.EncodeAll(func() []journal.Record { return []journal.Record{p.record(p.Get())} })
}

// Get returns the identity.
func (p *Part) Get() Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// Check rejects a disk that belongs to another node.
func (p *Part) Check(node string) error {
	if id := p.Get(); id.Node != "" && id.Node != node {
		return apierror.New(apierror.DiskForeign, "the data folder is node %s's, the settings name %s", id.Node, node)
	}
	return nil
}

const incarnationBytes = 8

// Claim gives a new disk its identity. It reports whether the disk was new.
func (p *Part) Claim(ctx context.Context, j *journal.Journal, node string) (bool, error) {
	if p.Get().Incarnation != "" {
		return false, nil
	}
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	id := Identity{Node: node, Incarnation: hex.EncodeToString(b[:])}
	return true, j.Put(ctx, true, func() { p.set(id) }, p.record(id))
}

func (p *Part) set(id Identity) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.id = id
}

// Join records the fleet that the disk belongs to. A disk of another fleet is rejected.
func (p *Part) Join(ctx context.Context, j *journal.Journal, fleet string) error {
	id := p.Get()
	if id.Fleet == fleet {
		return nil
	}
	if id.Fleet != "" {
		return apierror.New(apierror.DiskForeign, "the data folder is of fleet %s, this fleet is %s", id.Fleet, fleet)
	}
	id.Fleet = fleet
	return j.Put(ctx, true, func() { p.set(id) }, p.record(id))
}
