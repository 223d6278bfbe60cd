package leader

import (
	"unicode"
	"unicode/utf8"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/samza/state"
)

const (
	maxKeyBytes = 128
	// defaultMaxTombstones bounds a partition's tombstones where Options.MaxTombstones is nil.
	defaultMaxTombstones = 4096
)

// keyOffsets are the offsets of the last message and the last withdrawal under a key, 0 for none.
type keyOffsets struct{ message, withdrawal uint64 }

func isValidKey(key string) bool {
	for _, r := range key {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return key != "" && len(key) <= maxKeyBytes && utf8.ValidString(key)
}

// A message that violates one of messageRules is malformed.
var messageRules = []struct {
	isViolated func(*Message) bool
	detail     string
}{
	{
		func(m *Message) bool { return m.CallSeq == 0 },
		"call_seq must be above 0",
	},
	{
		func(m *Message) bool { return m.Key != "" && !isValidKey(m.Key) },
		"a key must be 1 to 128 bytes of printable text",
	},
	{
		func(m *Message) bool { return m.Withdraw && m.Key == "" },
		"a withdrawal must name a key",
	},
	{
		func(m *Message) bool { return m.Withdraw && len(m.Body) > 0 },
		"a withdrawal has no body",
	},
	{
		func(m *Message) bool { return !m.Withdraw && (m.WithdrawSender != "" || m.WithdrawUpTo > 0) },
		"only a withdrawal names a sender",
	},
	{
		func(m *Message) bool { return (m.WithdrawSender == "") != (m.WithdrawUpTo == 0) },
		"a withdrawal names a sender and its number, or neither",
	},
}

func (m *Message) validate() error {
	for _, rule := range messageRules {
		if rule.isViolated(m) {
			return apierror.New(apierror.Malformed, "%s", rule.detail)
		}
	}
	return nil
}

// latestForKey returns the last message and withdrawal under a key, committed or not. l.mu must be
// held.
func (l *Leader) latestForKey(key string) keyOffsets {
	uncommitted := l.uncommittedKeys[key]
	return keyOffsets{
		message:    max(uncommitted.message, l.state.LastKeyed[key]),
		withdrawal: max(uncommitted.withdrawal, l.state.Tombstones[key].Offset),
	}
}

// existingTombstone is the tombstone that a withdrawal asks for, if it exists already, and the
// offset that this depends on.
type existingTombstone struct {
	exists             bool
	offset, dependency uint64
}

// findTombstone returns the tombstone that a withdrawal asks for, if there is one and no message
// was accepted after it. The withdrawal is appended to the log even if there is one: it may be
// retried after another message was accepted under the key, and the answer to its number must then
// be known. l.mu must be held.
func (l *Leader) findTombstone(message *Message) existingTombstone {
	if !message.Withdraw {
		return existingTombstone{}
	}
	latest := l.latestForKey(state.Key(message.Topic, message.Key))
	if latest.withdrawal <= latest.message {
		return existingTombstone{}
	}
	existing := existingTombstone{exists: true, offset: latest.withdrawal, dependency: latest.withdrawal}
	if message.WithdrawSender != "" {
		sender := state.Key(message.WithdrawSender, message.Topic)
		existing.dependency = max(existing.dependency, l.dependencyOffset(sender))
		existing.exists = l.callsOf(sender).last >= message.WithdrawUpTo
	}
	return existing
}

// checkWithdrawal returns why a withdrawal can't be accepted: there is nothing under its key, or
// there are too many tombstones.
func (l *Leader) checkWithdrawal(message *Message) error {
	latest := l.latestForKey(state.Key(message.Topic, message.Key))
	if latest.message <= latest.withdrawal && message.WithdrawSender == "" {
		return apierror.New(apierror.KeyUnknown, "nothing is held under key %q on %s", message.Key, message.Topic)
	}
	if latest.withdrawal > 0 {
		return nil
	}
	count := len(l.state.Tombstones)
	for key, uncommitted := range l.uncommittedKeys {
		if _, ok := l.state.Tombstones[key]; !ok && uncommitted.withdrawal > 0 {
			count++
		}
	}
	limit := defaultMaxTombstones
	if l.options.MaxTombstones != nil {
		limit = l.options.MaxTombstones()
	}
	if count < limit {
		l.tombstonesFull = false
		return nil
	}
	if !l.tombstonesFull {
		l.tombstonesFull = true
		l.options.Observer.TombstonesFull(l.Record.Partition, l.Record.Epoch, count)
	}
	return apierror.New(apierror.Overloaded,
		"%d tombstones of partition %d are not dropped yet", count, l.Record.Partition)
}

// trackUncommittedKey records the offset of an appended entry, if it has a key. l.mu must be held.
func (l *Leader) trackUncommittedKey(entry log.Entry) {
	if entry.Key == "" {
		return
	}
	key := state.Key(entry.Topic, entry.Key)
	offsets := l.uncommittedKeys[key]
	if entry.Type == log.TypeWithdrawal {
		offsets.withdrawal = entry.Offset
	} else {
		offsets.message = entry.Offset
	}
	l.uncommittedKeys[key] = offsets
}

// clearUncommittedKey drops what was tracked of a key once the last entry under it is committed.
// l.mu must be held.
func (l *Leader) clearUncommittedKey(entry log.Entry) {
	if entry.Key == "" {
		return
	}
	key := state.Key(entry.Topic, entry.Key)
	if offsets := l.uncommittedKeys[key]; max(offsets.message, offsets.withdrawal) <= entry.Offset {
		delete(l.uncommittedKeys, key)
	}
}

// dropTombstones drops the tombstones that all readers have read past and that cover nothing that
// is still in the partition log. l.mu must be held.
func (l *Leader) dropTombstones() {
	readByAll := l.logs[log.KindInput].log.Base().Offset
	for node, reader := range l.state.Readers {
		if !reader.GivenUp {
			readByAll = min(readByAll, l.readOffset(node, reader))
		}
	}
	for key, tombstone := range l.state.Tombstones {
		if tombstone.Offset <= readByAll && l.uncommittedKeys[key].withdrawal == 0 {
			l.state.DropTombstone(key)
			l.counters.TombstonesDropped++
		}
	}
}
