package log

import (
	"sync"
	"time"
)

// Log holds the synced entries after a base.
type Log struct {
	mu     sync.Mutex
	base   Position
	es     []Entry
	at     []time.Time
	commit uint64
}

// New makes an empty line.
func New() *Log { return &Log{} }

// Base gives the point before the first entry held.
func (l *Log) Base() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.base
}

// Last gives the point of the last entry.
func (l *Log) Last() Position {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last()
}

func (l *Log) last() Position {
	if len(l.es) == 0 {
		return l.base
	}
	return l.es[len(l.es)-1].Position()
}

// Position gives the point at an offset, if held.
func (l *Log) Position(o uint64) (Position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o == l.base.Offset {
		return l.base, true
	}
	if o < l.base.Offset || o > l.last().Offset {
		return Position{}, false
	}
	return l.es[o-l.base.Offset-1].Position(), true
}

// Slice gives entries from an offset on, bounded by a number and by bytes.
func (l *Log) Slice(from, to uint64, most, bytes int) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from <= l.base.Offset {
		from = l.base.Offset + 1
	}
	to = min(to, l.last().Offset)
	var r []Entry
	for o := from; o <= to && len(r) < most && bytes > 0; o++ {
		e := l.es[o-l.base.Offset-1]
		bytes -= len(e.Body) + entryCost
		r = append(r, e)
	}
	return r
}

const entryCost = 128

// Append adds entries after the last one; those at offsets held already replace the line from there.
func (l *Log) Append(now time.Time, es ...Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range es {
		if e.Offset <= l.base.Offset {
			continue
		}
		k := int(e.Offset - l.base.Offset - 1)
		if k < len(l.es) {
			if l.es[k].Chain == e.Chain {
				continue
			}
			l.es, l.at = l.es[:k], l.at[:k]
		}
		if k > len(l.es) {
			return
		}
		l.es, l.at = append(l.es, e), append(l.at, now)
	}
}

// TruncateAfter drops entries after an offset.
func (l *Log) TruncateAfter(o uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o < l.base.Offset {
		return
	}
	if k := int(o - l.base.Offset); k < len(l.es) {
		l.es, l.at = l.es[:k], l.at[:k]
	}
	l.commit = min(l.commit, o)
}

// TrimTo drops entries up to p, or begins an empty line there. A base never goes back, and a line that
// does not hold p stays as it is.
func (l *Log) TrimTo(p Position) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.es) == 0 && l.base == (Position{}) {
		l.base = p
		return
	}
	if p.Offset <= l.base.Offset || p.Offset > l.last().Offset {
		return
	}
	k := int(p.Offset - l.base.Offset)
	if l.es[k-1].Position() == p {
		l.es = append([]Entry(nil), l.es[k:]...)
		l.at = append([]time.Time(nil), l.at[k:]...)
		l.base = p
	}
}

// Commit gives the last offset known to be on a majority.
func (l *Log) Commit() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(l.commit, l.last().Offset)
}

// SetCommit raises the commit mark.
func (l *Log) SetCommit(o uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commit = max(l.commit, o)
}

// LastBefore gives the last offset that came before t.
func (l *Log) LastBefore(t time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.base.Offset
	for _, a := range l.at {
		if !a.Before(t) {
			break
		}
		o++
	}
	return o
}

// DropLiveBodies drops the bodies of live entries that came before t.
func (l *Log) DropLiveBodies(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.at {
		if !a.Before(t) {
			return
		}
		if e := &l.es[i]; e.Live && !e.BodyDropped {
			e.Body, e.BodyDropped = nil, true
		}
	}
}

// Len gives the number of entries held.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.es)
}

// Size gives the number of entries held and the bytes that they bring along: bodies, topics and visitors.
func (l *Log) Size() (int, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for i := range l.es {
		e := &l.es[i]
		n += len(e.Body) + len(e.Topic) + len(e.Client)
	}
	return len(l.es), int64(n)
}
