// Package orderlog records which orders of operators were accepted.
//
// The log of accepted orders is stored in the configuration's register together with the
// configuration, in the same committed value. So it is as durable as the configuration itself, and
// is copied with it when voters are replaced. It lets any node distinguish an accepted order that
// is sent again from a rejected one, however many changes were made since.
//
// Invariant: an order whose sequence is above Log.ForgottenThrough was accepted if and only if it
// is in the log. Nothing is known about orders up to ForgottenThrough that are not in the log. A
// Log is a value: its methods return changed copies, do no I/O and take no locks.
package orderlog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

// MaxOrders is how many orders a log contains at most. Operators make hundreds of changes a day.
// The oldest order is dropped first.
const MaxOrders = 2048

const (
	digestBytes    = 16
	formatVersion  = 1
	changeIDPrefix = "order-"
)

// Digest distinguishes two orders, even if they have the same base and sequence.
type Digest [digestBytes]byte

// Order is one accepted order: the sequence of its configuration, the sequence that it builds on,
// and its digest.
type Order struct {
	Sequence uint64
	Base     uint64
	Digest   Digest
}

// OrderOf returns the order of a configuration. The table of lanes is ignored, since operators
// don't write it.
func OrderOf(config configuration.Config) Order {
	config = config.Normalized()
	config.Lanes = configuration.Lanes{}
	sum := sha256.Sum256(config.Marshal())
	return Order{Sequence: config.Sequence, Base: config.Base, Digest: Digest(sum[:digestBytes])}
}

// ChangeID returns the ID of the order's change. It is the same for all attempts of the order, at
// all nodes.
func (o Order) ChangeID() string { return changeIDPrefix + hex.EncodeToString(o.Digest[:]) }

// Log contains accepted orders by ascending sequence. Older orders, with sequences up to
// ForgottenThrough, have been dropped.
type Log struct {
	ForgottenThrough uint64
	Orders           []Order
}

// StartAt returns a log that begins at a configuration which a build without logs accepted. Nothing
// is known about the orders before it.
func StartAt(config configuration.Config) Log {
	if config.Sequence == 0 {
		return Log{}
	}
	return Log{ForgottenThrough: config.Base, Orders: []Order{OrderOf(config)}}
}

// Contains reports whether the order is known to have been accepted.
func (l Log) Contains(order Order) bool { return slices.Contains(l.Orders, order) }

// Covers reports whether the log is conclusive about the order: the order was accepted if and only
// if the log contains it.
func (l Log) Covers(order Order) bool {
	return order.Sequence > l.ForgottenThrough || l.Contains(order)
}

// Append returns the log with one more order, the newest. If there are more than MaxOrders the
// oldest is dropped.
func (l Log) Append(order Order) Log {
	l.Orders = append(slices.Clone(l.Orders), order)
	if surplus := len(l.Orders) - MaxOrders; surplus > 0 {
		l.ForgottenThrough = l.Orders[surplus-1].Sequence
		l.Orders = slices.Clone(l.Orders[surplus:])
	}
	return l
}

// Marshal encodes the log for Parse: a format version, ForgottenThrough, the number of orders, and
// for each order the increase of its sequence over the one before, how far its base is below its
// sequence, and its digest. Numbers are unsigned varints.
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

// Parse decodes a log. A log that can't be decoded is an error with code DiskDamaged, never an
// empty log.
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
			"the log of accepted orders is truncated or has data after its end")
	}
	return log, nil
}

// reader reads fields from the front of an encoded log. truncated is set once a field was missing.
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
