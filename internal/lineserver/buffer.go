package lineserver

import "postjunction/internal/delivery/fanout"

// messageSpan is the range of bytes that a message with a key takes in a buffer.
type messageSpan struct {
	partition  int
	topic, key string
	offset     uint64
	start, end int
}

// Withdraw removes the pending messages of a partition that are covered. It closes the connection
// if one of them is being written.
func (c *conn) Withdraw(partition int, covered fanout.WithdrawnFunc) {
	c.removeCovered(true, func(message *messageSpan) bool {
		return message.partition == partition && covered(message.topic, message.key, message.offset)
	})
}

// Drop removes the pending messages of a topic that have keys, unless they are being written.
func (c *conn) Drop(topic string) {
	c.removeCovered(false, func(message *messageSpan) bool { return message.topic == topic })
}

// Release removes the pending messages of a partition that have keys. It reports whether none is
// left. If one is being written, it closes the connection only if closeConnection is set.
func (c *conn) Release(partition int, closeConnection bool) bool {
	return c.removeCovered(closeConnection, func(message *messageSpan) bool { return message.partition == partition })
}

// removeCovered removes covered messages from the pending bytes. If one is being written and
// mayClose is set, it closes the connection. It reports whether no covered message is left.
func (c *conn) removeCovered(mayClose bool, covers func(*messageSpan) bool) bool {
	c.mu.Lock()
	if len(c.pendingSpans) > 0 {
		c.removePending(covers)
	}
	isInFlight := false
	for i := range c.inFlightSpans {
		isInFlight = isInFlight || covers(&c.inFlightSpans[i])
	}
	mayClose = mayClose && isInFlight
	c.isClosed = c.isClosed || mayClose
	c.mu.Unlock()
	if mayClose {
		_ = c.netConn.Close()
	}
	return mayClose || !isInFlight
}

// removePending cuts covered messages out of the pending bytes. The caller holds c.mu.
func (c *conn) removePending(covers func(*messageSpan) bool) {
	remaining, spans, copied, removed := c.pending[:0], c.pendingSpans[:0], 0, 0
	for _, span := range c.pendingSpans {
		if covers(&span) {
			remaining = append(remaining, c.pending[copied:span.start]...)
			copied = span.end
			removed += span.end - span.start
			continue
		}
		span.start, span.end = span.start-removed, span.end-removed
		spans = append(spans, span)
	}
	c.pending, c.pendingSpans = append(remaining, c.pending[copied:]...), spans
}
