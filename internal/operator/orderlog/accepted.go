// Package orderlog remembers which orders of operators became a configuration.
//
// The log of accepted orders is written into the description's register together with the description, in the same
// decided value, so it is exactly as durable as the decision itself and is copied with it when voters are replaced. It
// lets any node tell an accepted order that is sent again, however many changes were made on top of it since, from one
// that was refused.
//
// Invariant: an order whose sequence is above Log.Forgotten was accepted if and only if it stands in the log. Of orders
// up to Forgotten nothing is known.
package orderlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

// MaxOrders is how many orders a log holds. The users make hundreds of changes a day; the oldest is forgotten first.
const MaxOrders = 2048

const (
	digestBytes = 16
	formatOne   = 1
	namePrefix  = "order-"
)

// Digest tells two orders apart, also where they share base and sequence.
type Digest [digestBytes]byte

// Order is one accepted order: the version that it made, the version that it builds on, and its digest.
type Order struct {
	Sequence uint64
	Base     uint64
	Digest   Digest
}

// OrderOf gives the order of a description; the fleet's own table of lanes is no part of what an operator writes.
func OrderOf(d configuration.Config) Order {
	d = d.Normalized()
	d.Lanes = configuration.Lanes{}
	sum := sha256.Sum256(d.Marshal())
	return Order{Sequence: d.Sequence, Base: d.Base, Digest: Digest(sum[:digestBytes])}
}

// ChangeID is the name of the change that the order makes. All tries of one order share it, at whatever node.
func (o Order) ChangeID() string { return namePrefix + hex.EncodeToString(o.Digest[:]) }

// Log holds accepted orders by rising sequence. Orders with sequences up to Forgotten are no longer known.
type Log struct {
	ForgottenThrough uint64
	Orders           []Order
}

// StartAt begins a log at a description that was accepted before logs were kept; of what came before it nothing is known.
func StartAt(d configuration.Config) Log {
	if d.Sequence == 0 {
		return Log{}
	}
	return Log{ForgottenThrough: d.Base, Orders: []Order{OrderOf(d)}}
}

// Contains tells whether the order was accepted, as far as is known.
func (l Log) Contains(o Order) bool { return slices.Contains(l.Orders, o) }

// Covers tells whether the log decides about the order: it was accepted if and only if the log holds it.
func (l Log) Covers(o Order) bool { return o.Sequence > l.ForgottenThrough || l.Contains(o) }

// Append gives the log with one more order, the newest; the oldest is forgotten where there would be too many.
func (l Log) Append(o Order) Log {
	l.Orders = append(slices.Clone(l.Orders), o)
	if over := len(l.Orders) - MaxOrders; over > 0 {
		l.ForgottenThrough = l.Orders[over-1].Sequence
		l.Orders = slices.Clone(l.Orders[over:])
	}
	return l
}

// Marshal writes the log: a format number, Forgotten, how many orders follow, then for each the rise of its sequence, how
// far below it its base is, and its digest.
func (l Log) Marshal() []byte {
	b := binary.AppendUvarint([]byte{formatOne}, l.ForgottenThrough)
	b = binary.AppendUvarint(b, uint64(len(l.Orders)))
	last := l.ForgottenThrough
	for _, o := range l.Orders {
		b = binary.AppendUvarint(b, o.Sequence-last)
		b = binary.AppendUvarint(b, o.Sequence-o.Base)
		b = append(b, o.Digest[:]...)
		last = o.Sequence
	}
	return b
}

// Parse reads a log. A log that can't be read is an error, never an empty log.
func Parse(b []byte) (Log, error) {
	if len(b) == 0 || b[0] != formatOne {
		return Log{}, apierror.New(apierror.DiskDamaged, "the log of accepted orders has an unknown format")
	}
	r := reader{rest: b[1:]}
	l := Log{ForgottenThrough: r.number()}
	last := l.ForgottenThrough
	for count := r.number(); count > 0 && !r.bad; count-- {
		o := Order{Sequence: last + r.number()}
		o.Base = o.Sequence - r.number()
		o.Digest = r.digest()
		l.Orders = append(l.Orders, o)
		last = o.Sequence
	}
	if r.bad || len(r.rest) > 0 {
		return Log{}, apierror.New(apierror.DiskDamaged, "the log of accepted orders breaks off or goes on behind its end")
	}
	return l, nil
}

// reader takes fields off the front of a packed log; bad is set once something was missing.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

func (r *reader) digest() (d Digest) {
	if len(r.rest) < digestBytes {
		r.bad = true
		return d
	}
	copy(d[:], r.rest)
	r.rest = r.rest[digestBytes:]
	return d
}
