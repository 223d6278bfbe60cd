// Package frame encodes the records of a journal, each with the header that it has on disk.
package frame

import (
	"encoding/binary"
	"hash/crc32"

	"postjunction/internal/apierror"
)

// Format is the version of the disk format. Version 1 had all bodies in JSON. Version 2 has those
// of the partition log in CBOR, and compacts it in slices.
const Format = 2

// Size is the length of the header.
const Size = 40

const magic = 0x706a

// Frame is one record: its kind, its index in the journal, the last index synced when it was
// written, its epoch and offset in the log that it belongs to, and its body.
type Frame struct {
	Kind        uint16
	Index       uint64
	SyncedIndex uint64
	Epoch       uint64
	Offset      uint64
	Body        []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the bytes of a frame.
func Encode(frame Frame) []byte {
	b := make([]byte, Size+len(frame.Body))
	binary.LittleEndian.PutUint16(b[4:], magic)
	b[6] = Format
	b[7] = byte(frame.Kind)
	binary.LittleEndian.PutUint64(b[8:], frame.Index)
	binary.LittleEndian.PutUint64(b[16:], frame.SyncedIndex)
	binary.LittleEndian.PutUint64(b[24:], frame.Epoch)
	binary.LittleEndian.PutUint64(b[32:], frame.Offset)
	copy(b[Size:], frame.Body)
	return WriteChecksum(b)
}

// WriteChecksum writes the checksum of an encoded frame into it.
func WriteChecksum(b []byte) []byte {
	binary.LittleEndian.PutUint32(b, crc32.Checksum(b[4:], castagnoli))
	return b
}

// Decode decodes a frame and checks its checksum, its format and its index.
func Decode(index uint64, b []byte) (Frame, error) {
	if len(b) < Size {
		return Frame{}, apierror.New(
			apierror.DiskDamaged, "record %d has %d bytes, fewer than its header", index, len(b),
		)
	}
	if binary.LittleEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return Frame{}, apierror.New(apierror.DiskDamaged, "record %d fails its checksum", index)
	}
	if binary.LittleEndian.Uint16(b[4:]) != magic {
		return Frame{}, apierror.New(apierror.DiskForeign, "record %d is not one of postjunction's", index)
	}
	if b[6] > Format {
		return Frame{}, apierror.New(
			apierror.DiskNewer, "record %d has format %d, this build knows %d", index, b[6], Format,
		)
	}
	frame := Frame{
		Kind:        uint16(b[7]),
		Index:       binary.LittleEndian.Uint64(b[8:]),
		SyncedIndex: binary.LittleEndian.Uint64(b[16:]),
		Epoch:       binary.LittleEndian.Uint64(b[24:]),
		Offset:      binary.LittleEndian.Uint64(b[32:]),
		Body:        b[Size:],
	}
	if frame.Index != index {
		return Frame{}, apierror.New(apierror.DiskDamaged, "record %d has index %d in its header", index, frame.Index)
	}
	return frame, nil
}
