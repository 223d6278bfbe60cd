// Package orderlog remembers which orders of operators became a configuration.
//
// The log of accepted orders is written into the configuration's register together with the
// configuration, in the same decided value. So it is exactly as durable as the decision itself, and
// is copied with it when voters are replaced. It lets any node recognise an accepted order that is
// sent again, however many changes were made on top of it since, from one that was rejected.
//
// Invariant: an order whose sequence is above Log.ForgottenThrough was accepted if and only if it
// is in the log. Of orders up to ForgottenThrough nothing is known. A Log is a value: its methods
// return changed copies, do no I/O and hold no locks.
package orderlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

// MaxOrders is how many orders a log holds. Operators make hundreds of changes a day; the oldest is
// forgotten first.
const MaxOrders = 2048

const (
	digestBytes    = 16
	formatVersion  = 1
	changeIDPrefix = "order-"
)

// Digest distinguishes two orders, also where they share base and sequence.
type Digest [digestBytes]byte

// Order is one accepted order: the version that it made, the version that it builds on, and its
// digest.
type Order struct {
	Sequence uint64
	Base     uint64
	Digest   Digest
}

// OrderOf returns the order of a configuration. The fleet's own table of lanes is no part of what
// an operator writes.
func OrderOf(config configuration.Config) Order {
	config = config.Normalized()
	config.Lanes = configuration.Lanes{}
	sum := sha256.Sum256(config.Marshal())
	return Order{Sequence: config.Sequence, Base: config.Base, Digest: Digest(sum[:digestBytes])}
}

// ChangeID returns the ID of the change that the order makes. All attempts of one order share it,
// at whatever node.
func (o Order) ChangeID() string { return changeIDPrefix + hex.EncodeToString(o.Digest[:]) }

// Log holds accepted orders by rising sequence. Orders with sequences up to ForgottenThrough are no
// longer known.
type Log struct {
	ForgottenThrough uint64
	Orders           []Order
}

// StartAt returns a log that begins at a configuration which was accepted before logs were kept. Of
// what came before it nothing is known.
func StartAt(config configuration.Config) Log {
	if config.Sequence == 0 {
		return Log{}
	}
	return Log{ForgottenThrough: config.Base, Orders: []Order{OrderOf(config)}}
}

// Contains reports whether the order was accepted, as far as is known.
func (l Log) Contains(order Order) bool { return slices.Contains(l.Orders, order) }

// Covers reports whether the log decides about the order: it was accepted if and only if the log
// contains it.
func (l Log) Covers(order Order) bool {
	return order.Sequence > l.ForgottenThrough || l.Contains(order)
}

// Append returns the log with one more order, the newest. The oldest is forgotten where there would
// be too many.
func (l Log) Append(order Order) Log {
	l.Orders = append(slices.Clone(l.Orders), order)
	if surplus := len(l.Orders) - MaxOrders; surplus > 0 {
		l.ForgottenThrough = l.Orders[surplus-1].Sequence
		l.Orders = slices.Clone(l.Orders[surplus:])
	}
	return l
}

// Marshal returns the log as bytes, which Parse reads: a format version, ForgottenThrough, how many
// orders follow, then for each the rise of its sequence, how far below it its base is, and its
// digest. Numbers are unsigned varints.
func (l Log) Marshal() []byte {
	data := binary.AppendUvarint([]byte{formatVersion}, l.ForgottenThrough)
	data = binary.AppendUvarint(data, uint64(len(l.Orders)))
	last := l.ForgottenThrough
	for _, order := range l.Orders {
		data = binary.AppendUvarint(data, order.Sequence-last)
		data = binary.AppendUvarint(data, order.Sequence-order.Base)
		data = append(data, order.Digest[:]...)
		last = order.Sequence
	}
	return data
}

// Parse reads a log. A log that can't be read is an error with code DiskDamaged, never an empty
// log.
func Parse(data []byte) (Log, error) {
	if len(data) == 0 || data[0] != formatVersion {
		return Log{}, apierror.New(apierror.DiskDamaged, "the log of accepted orders has an unknown format")
	}
	fields := reader{rest: data[1:]}
	log := Log{ForgottenThrough: fields.number()}
	last := log.ForgottenThrough
	for count := fields.number(); count > 0 && !fields.truncated; count-- {
		order := Order{Sequence: last + fields.number()}
		order.Base = order.Sequence - fields.number()
		order.Digest = fields.digest()
		log.Orders = append(log.Orders, order)
		last = order.Sequence
	}
	if fields.truncated || len(fields.rest) > 0 {
		return Log{}, apierror.New(apierror.DiskDamaged,
			"the log of accepted orders breaks off or goes on behind its end")
	}
	return log, nil
}

// reader takes fields off the front of a marshalled log. truncated is set once a field was missing.
type reader struct {
	rest      []byte
	truncated bool
}

func (r *reader) number() uint64 {
	number, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.truncated = true
		return 0
	}
	r.rest = r.rest[size:]
	return number
}

func (r *reader) digest() (digest Digest) {
	if len(r.rest) < digestBytes {
		r.truncated = true
		return digest
	}
	copy(digest[:], r.rest)
	r.rest = r.rest[digestBytes:]
	return digest
}
