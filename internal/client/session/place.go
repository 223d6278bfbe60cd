package session

import (
	"strconv"
	"strings"

	"postjunction/internal/apierror"
)

const fleetMost = 6

// Cursor is a cursor of one topic: the offset in its partition behind which the visitor goes on.
type Cursor struct {
	Partition int
	Offset    uint64
}

// Encode writes a cursor of at most 30 printable bytes, which holds for any visitor of a fleet.
func (p Cursor) Encode(fleet string) string {
	b := make([]byte, 0, 24)
	b = append(b, fleet[:min(fleetMost, len(fleet))]...)
	b = append(b, '.')
	b = strconv.AppendInt(b, int64(p.Partition), 36)
	b = append(b, '.')
	return string(strconv.AppendUint(b, p.Offset, 36))
}

// DecodeCursor reads a cursor of a fleet.
func DecodeCursor(fleet, s string) (Cursor, error) {
	bad := apierror.New(apierror.CursorMalformed, "%.64q is no cursor of this fleet", s)
	w := strings.Split(s, ".")
	if len(w) != 3 || w[0] != fleet[:min(fleetMost, len(fleet))] {
		return Cursor{}, bad
	}
	p, err := strconv.ParseUint(w[1], 36, 31)
	if err != nil {
		return Cursor{}, bad
	}
	o, err := strconv.ParseUint(w[2], 36, 64)
	if err != nil {
		return Cursor{}, bad
	}
	return Cursor{int(p), o}, nil
}
