// Package cursor writes a visitor's place in each partition as one opaque word.
package cursor

import (
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"slices"
	"strings"

	"postjunction/internal/apierror"
)

// Cursor is the last offset seen, by partition.
type Cursor map[int]uint64

const (
	prefix     = "c1."
	placesMost = 512
)

func seed(fleet string) uint32 { return crc32.ChecksumIEEE([]byte(fleet)) }

// Encode writes a cursor for one fleet.
func Encode(fleet string, c Cursor) string {
	ps := make([]int, 0, len(c))
	for p := range c {
		ps = append(ps, p)
	}
	slices.Sort(ps)
	b := make([]byte, 4, 4+len(ps)*6)
	for _, p := range ps {
		b = binary.AppendUvarint(b, uint64(p))
		b = binary.AppendUvarint(b, c[p])
	}
	binary.BigEndian.PutUint32(b, crc32.Update(seed(fleet), crc32.IEEETable, b[4:]))
	return prefix + base64.RawURLEncoding.EncodeToString(b)
}

// Decode reads a cursor of one fleet with a number of partitions.
func Decode(fleet string, partitions int, s string) (Cursor, error) {
	t, ok := strings.CutPrefix(s, prefix)
	b, err := base64.RawURLEncoding.DecodeString(t)
	if !ok || err != nil || len(b) < 4 {
		return nil, apierror.New(apierror.CursorMalformed, "%.40q is no cursor", s)
	}
	if binary.BigEndian.Uint32(b) != crc32.Update(seed(fleet), crc32.IEEETable, b[4:]) {
		return nil, apierror.New(apierror.CursorMalformed, "%.40q was altered or is of another fleet", s)
	}
	c := Cursor{}
	for b = b[4:]; len(b) > 0; {
		p, n := binary.Uvarint(b)
		if n <= 0 || p >= uint64(partitions) || len(c) >= placesMost {
			return nil, apierror.New(apierror.CursorMalformed, "%.40q names a partition that there is not", s)
		}
		o, m := binary.Uvarint(b[n:])
		if m <= 0 {
			return nil, apierror.New(apierror.CursorMalformed, "%.40q breaks off", s)
		}
		c[int(p)] = o
		b = b[n+m:]
	}
	return c, nil
}
