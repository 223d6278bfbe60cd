package session

import (
	"strconv"
	"strings"

	"postjunction/internal/apierror"
)

const (
	// fleetPrefixBytes is the length of the prefix of the fleet's name in a cursor.
	fleetPrefixBytes = 6
	// usualCursorBytes is the length of the usual cursor, for allocation only.
	usualCursorBytes = 24
	cursorSeparator  = "."
	cursorBase       = 36
)

// Cursor is a position in one topic: the offset in its partition after which the client continues.
type Cursor struct {
	Partition int
	Offset    uint64
}

// Encode returns the cursor as at most 30 printable bytes. It is valid for any client of the fleet.
func (c Cursor) Encode(fleet string) string {
	text := make([]byte, 0, usualCursorBytes)
	text = append(text, fleetPrefix(fleet)...)
	text = append(text, cursorSeparator...)
	text = strconv.AppendInt(text, int64(c.Partition), cursorBase)
	text = append(text, cursorSeparator...)
	return string(strconv.AppendUint(text, c.Offset, cursorBase))
}

// DecodeCursor parses a cursor of a fleet. Its error has the code CursorMalformed.
func DecodeCursor(fleet, text string) (Cursor, error) {
	malformed := apierror.New(apierror.CursorMalformed, "%.64q is not a cursor of this fleet", text)
	fields := strings.Split(text, cursorSeparator)
	if len(fields) != 3 || fields[0] != fleetPrefix(fleet) {
		return Cursor{}, malformed
	}
	partition, err := strconv.ParseUint(fields[1], cursorBase, 31)
	if err != nil {
		return Cursor{}, malformed
	}
	offset, err := strconv.ParseUint(fields[2], cursorBase, 64)
	if err != nil {
		return Cursor{}, malformed
	}
	return Cursor{int(partition), offset}, nil
}

func fleetPrefix(fleet string) string { return fleet[:min(fleetPrefixBytes, len(fleet))] }
