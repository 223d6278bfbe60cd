package deliverycheck

import "time"

// countTolerance is by how many listeners a count may be too high.
const countTolerance = 2

// Presence is the time in which a client listens to a topic on one connection.
type Presence struct {
	checker                       *Checker
	requestedAt, joinedAt, leftAt time.Time
}

// BeginPresence records that a client asks to listen to a topic.
func (c *Checker) BeginPresence(topic string, now time.Time) *Presence {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &Presence{checker: c, requestedAt: now}
	c.presences[topic] = append(c.presences[topic], p)
	return p
}

// Joined records that the client listens.
func (p *Presence) Joined(now time.Time) {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	p.joinedAt = now
}

// Left records that the client no longer listens.
func (p *Presence) Left(now time.Time) {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	if p.leftAt.IsZero() {
		p.leftAt = now
	}
}

// Count checks a presence count that a client received. It must not exceed the listeners present at
// some moment of the window by more than countTolerance. A calm fleet counts at least those that
// were present throughout the window.
func (c *Checker) Count(topic string, count int, requestedAt, answeredAt time.Time, calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tally.Counts++
	least, most := 0, 0
	from := requestedAt.Add(-c.Window)
	for _, p := range c.presences[topic] {
		if (p.leftAt.IsZero() || p.leftAt.After(from)) && p.requestedAt.Before(answeredAt) {
			most++
		}
		if p.leftAt.IsZero() && !p.joinedAt.IsZero() && p.joinedAt.Before(from) {
			least++
		}
	}
	if count > most+countTolerance {
		c.addViolation(Count, "%d listeners were counted on %s at %s, at most %d were present, and the tolerance is %d",
			count, topic, answeredAt.Format("04:05.000"), most, countTolerance)
	}
	if calm && count < least {
		c.addViolation(Count, "%d listeners were counted on %s at %s, %d were present throughout the window", count,
			topic, answeredAt.Format("04:05.000"), least)
	}
}
