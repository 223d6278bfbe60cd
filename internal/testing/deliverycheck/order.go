package deliverycheck

// order is what follows what in the lines that visitors saw of a topic.
type order struct {
	next map[Message]map[Message]bool
}

func (o *order) add(gs []receipt) {
	for i, g := range gs {
		if o.next[g.message] == nil {
			o.next[g.message] = map[Message]bool{}
		}
		if i > 0 && gs[i-1].message != g.message {
			o.next[gs[i-1].message][g.message] = true
		}
	}
}

// knot gives a message that comes before itself, if there is one.
func (o *order) knot() (Message, bool) {
	before := map[Message]int{}
	for _, ns := range o.next {
		for n := range ns {
			before[n]++
		}
	}
	var free []Message
	for m := range o.next {
		if before[m] == 0 {
			free = append(free, m)
		}
	}
	done := 0
	for len(free) > 0 {
		m := free[len(free)-1]
		free = free[:len(free)-1]
		done++
		for n := range o.next[m] {
			if before[n]--; before[n] == 0 {
				free = append(free, n)
			}
		}
	}
	if done == len(o.next) {
		return Message{}, false
	}
	for m := range o.next {
		if before[m] > 0 {
			return m, true
		}
	}
	return Message{}, false
}
