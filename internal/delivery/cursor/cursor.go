// Package cursor encodes a client's position in each partition as one opaque string, with a
// checksum over the fleet's name. It has no state.
package cursor

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"maps"
	"slices"
	"strings"

	"postjunction/internal/apierror"
)

// Cursor is the last offset that a client has seen, by partition.
type Cursor map[int]uint64

const (
	prefix        = "c1."
	checksumBytes = 4
	// entryBytes is the usual length of a partition with its offset, for the allocation only.
	entryBytes    = 6
	maxPartitions = 512
)

func checksum(fleet string, entries []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE([]byte(fleet)), crc32.IEEETable, entries)
}

// Encode returns a cursor of a fleet as a string.
func Encode(fleet string, cursor Cursor) string {
	partitions := slices.Sorted(maps.Keys(cursor))
	data := make([]byte, checksumBytes, checksumBytes+len(partitions)*entryBytes)
	for _, partition := range partitions {
		data = binary.AppendUvarint(data, uint64(partition))
		data = binary.AppendUvarint(data, cursor[partition])
	}
	binary.BigEndian.PutUint32(data, checksum(fleet, data[checksumBytes:]))
	return prefix + base64.RawURLEncoding.EncodeToString(data)
}

// Decode parses a cursor of a fleet that has a number of partitions. Its errors have the code
// CursorMalformed.
func Decode(fleet string, partitions int, text string) (Cursor, error) {
	encoded, ok := strings.CutPrefix(text, prefix)
	data, err := base64.RawURLEncoding.DecodeString(encoded)
	if !ok || err != nil || len(data) < checksumBytes {
		return nil, apierror.New(apierror.CursorMalformed, "%.40q is not a cursor", text)
	}
	entries := data[checksumBytes:]
	if binary.BigEndian.Uint32(data) != checksum(fleet, entries) {
		return nil, apierror.New(apierror.CursorMalformed, "%.40q was altered or is of another fleet", text)
	}
	cursor := Cursor{}
	for len(entries) > 0 {
		partition, length := binary.Uvarint(entries)
		if length <= 0 || partition >= uint64(partitions) || len(cursor) >= maxPartitions {
			return nil, apierror.New(apierror.CursorMalformed, "%.40q names a partition that does not exist", text)
		}
		entries = entries[length:]
		offset, length := binary.Uvarint(entries)
		if length <= 0 {
			return nil, apierror.New(apierror.CursorMalformed, "%.40q is truncated", text)
		}
		cursor[int(partition)] = offset
		entries = entries[length:]
	}
	return cursor, nil
}
