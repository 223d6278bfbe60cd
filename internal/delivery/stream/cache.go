package stream

import (
	"time"

	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/log"
)

const (
	// maxCacheBytes limits the cache of a feed. entryCost is what an entry counts in addition to
	// its body.
	maxCacheBytes = 8 << 20
	entryCost     = 128
	// maxTombstones limits the tombstones that a feed retains.
	maxTombstones = 1024
)

// messageKey identifies the messages that a withdrawal covers.
type messageKey struct{ topic, key string }

func keyOf(entry log.Entry) messageKey { return messageKey{entry.Topic, entry.Key} }

// apply adds what was read to the cache and wakes the streams. It returns the writes that it
// aborted. They have to end before anything after these entries is read.
func (f *Feed) apply(response *leader.ReadResponse, isFirst bool) []*write {
	now := f.feeds.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var aborted []*write
	if isFirst || response.Base > f.end {
		aborted = f.dropAll()
		f.base, f.end = response.Base, response.Base
		if isFirst {
			f.base, f.end = response.To, response.To
		}
	}
	for _, entry := range response.Entries {
		if entry.Offset != f.end+1 {
			continue
		}
		if entry.Type == log.TypeWithdrawal {
			aborted = append(aborted, f.withdraw(entry)...)
		}
		f.entries, f.receivedAt, f.end = append(f.entries, entry), append(f.receivedAt, now), entry.Offset
		f.bytes += len(entry.Body) + entryCost
	}
	f.trim(now)
	if len(response.Entries) > 0 || isFirst {
		f.wakeFollowers()
	}
	return aborted
}

// trim drops the oldest entries while the cache is too large or they are too old.
func (f *Feed) trim(now time.Time) {
	count := 0
	for count < len(f.entries) &&
		(f.bytes > maxCacheBytes || now.Sub(f.receivedAt[count]) > f.feeds.timing.Retention()) {
		f.bytes -= len(f.entries[count].Body) + entryCost
		f.base = f.entries[count].Offset
		count++
	}
	if count > 0 {
		f.entries = append([]log.Entry(nil), f.entries[count:]...)
		f.receivedAt = append([]time.Time(nil), f.receivedAt[count:]...)
	}
}

func (f *Feed) wakeFollowers() {
	for follower := range f.followers {
		select {
		case follower.wake <- struct{}{}:
		default:
		}
	}
}

// withdraw drops the bodies that a withdrawal covers from the cache, records its tombstone for
// windows that were filled earlier, and aborts the writes that it covers. If there are too many
// tombstones, all windows that were filled earlier become stale.
func (f *Feed) withdraw(withdrawal log.Entry) []*write {
	key := keyOf(withdrawal)
	for i := range f.entries {
		if entry := &f.entries[i]; entry.Type == log.TypeMessage && keyOf(*entry) == key {
			f.bytes -= len(entry.Body)
			entry.Body, entry.Digest, entry.BodyDropped = nil, "", true
		}
	}
	if len(f.tombstones) >= maxTombstones {
		f.generation++
		clear(f.tombstones)
	}
	f.tombstones[key] = withdrawal.Offset
	var aborted []*write
	for w := range f.writes {
		if keyOf(w.entry) == key && w.entry.Offset < withdrawal.Offset {
			w.abort()
			aborted = append(aborted, w)
		}
	}
	return aborted
}

// dropAll empties the cache, makes all windows stale and aborts all writes, since their messages
// may be withdrawn without the feed's knowledge.
func (f *Feed) dropAll() []*write {
	f.entries, f.receivedAt, f.bytes = nil, nil, 0
	f.generation++
	clear(f.tombstones)
	var aborted []*write
	for w := range f.writes {
		w.abort()
		aborted = append(aborted, w)
	}
	return aborted
}
