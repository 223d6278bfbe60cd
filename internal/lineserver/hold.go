package lineserver

import "postjunction/internal/delivery/fanout"

// span is where a message with a key stands in bytes that wait.
type span struct {
	p          int
	topic, key string
	offset     uint64
	from, to   int
}

// Withdraw takes back messages of a partition that are covered. A write that is under way with one ends the connection.
func (c *conn) Withdraw(p int, covered fanout.WithdrawnFunc) {
	c.take(true, func(s *span) bool { return s.p == p && covered(s.topic, s.key, s.offset) })
}

// Drop takes back messages of a topic that have keys, unless they are being written.
func (c *conn) Drop(topic string) {
	c.take(false, func(s *span) bool { return s.topic == topic })
}

// Release takes back messages of a partition that have keys. It tells whether none is left.
func (c *conn) Release(p int, cut bool) bool {
	return c.take(cut, func(s *span) bool { return s.p == p })
}

// take takes spans out of the bytes that wait, and ends the connection if it may cut and one is being written.
func (c *conn) take(cut bool, covers func(*span) bool) bool {
	c.mu.Lock()
	if len(c.kept) > 0 {
		c.strike(covers)
	}
	flies := false
	for i := range c.flown {
		flies = flies || covers(&c.flown[i])
	}
	cut = cut && flies
	c.gone = c.gone || cut
	c.mu.Unlock()
	if cut {
		_ = c.n.Close()
	}
	return cut || !flies
}

// strike closes the gaps that spans leave in the bytes that wait.
func (c *conn) strike(covers func(*span) bool) {
	out, kept, done, gone := c.out[:0], c.kept[:0], 0, 0
	for _, s := range c.kept {
		if covers(&s) {
			out = append(out, c.out[done:s.from]...)
			done = s.to
			gone += s.to - s.from
			continue
		}
		s.from, s.to = s.from-gone, s.to-gone
		kept = append(kept, s)
	}
	c.out, c.kept = append(out, c.out[done:]...), kept
}
