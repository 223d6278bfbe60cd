package deliverycheck

import "time"

// slack is how many listeners a count may be too high by.
const slack = 2

// Presence is the time that a visitor listens to a topic on one connection.
type Presence struct {
	checker          *Checker
	asked, since, to time.Time
}

// Here notes that a visitor asks to listen.
func (b *Checker) BeginPresence(topic string, now time.Time) *Presence {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := &Presence{checker: b, asked: now}
	b.presences[topic] = append(b.presences[topic], p)
	return p
}

// Joined notes that it does.
func (p *Presence) Joined(now time.Time) {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	p.since = now
}

// Gone notes that it does no longer.
func (p *Presence) Left(now time.Time) {
	p.checker.mu.Lock()
	defer p.checker.mu.Unlock()
	if p.to.IsZero() {
		p.to = now
	}
}

// Count notes a count of listeners that was asked for and told. A calm fleet counts all that were
// there all through the window.
func (b *Checker) Count(topic string, n int, asked, answered time.Time, calm bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tally.Counts++
	least, most := 0, 0
	from := asked.Add(-b.Window)
	for _, p := range b.presences[topic] {
		if (p.to.IsZero() || p.to.After(from)) && p.asked.Before(answered) {
			most++
		}
		if p.to.IsZero() && !p.since.IsZero() && p.since.Before(from) {
			least++
		}
	}
	if n > most+slack {
		b.addViolation(Count, "%d were counted on %s at %s, %d were there at some moment, and %d more are let pass",
			n, topic, answered.Format("04:05.000"), most, slack)
	}
	if calm && n < least {
		b.addViolation(Count, "%d were counted on %s at %s, %d were there all the time", n, topic,
			answered.Format("04:05.000"), least)
	}
}
