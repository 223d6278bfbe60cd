package deliverycheck

// order is a graph of the messages that the subscriptions to a topic received, with an edge from
// each message to those that directly followed it in a subscription.
type order struct {
	followers map[Message]map[Message]bool
}

func (o *order) add(receipts []receipt) {
	for i, receipt := range receipts {
		if o.followers[receipt.message] == nil {
			o.followers[receipt.message] = map[Message]bool{}
		}
		if i > 0 && receipts[i-1].message != receipt.message {
			o.followers[receipts[i-1].message][receipt.message] = true
		}
	}
}

// cycle returns a message that precedes itself in the graph, if there is one.
func (o *order) cycle() (Message, bool) {
	predecessors := map[Message]int{}
	for _, followers := range o.followers {
		for follower := range followers {
			predecessors[follower]++
		}
	}
	var ready []Message
	for message := range o.followers {
		if predecessors[message] == 0 {
			ready = append(ready, message)
		}
	}
	visited := 0
	for len(ready) > 0 {
		message := ready[len(ready)-1]
		ready = ready[:len(ready)-1]
		visited++
		for follower := range o.followers[message] {
			if predecessors[follower]--; predecessors[follower] == 0 {
				ready = append(ready, follower)
			}
		}
	}
	if visited == len(o.followers) {
		return Message{}, false
	}
	for message := range o.followers {
		if predecessors[message] > 0 {
			return message, true
		}
	}
	return Message{}, false
}
