package history

// judged says which lines this run could have broken: a line about owners wants a second epoch, one
// about disks a second promise of one disk, one about returning a stream that was opened again, and
// so on. Waits of urgent calls are judged beside those of all others.
func (h *History) judged(r *Report) {
	epochs, ranks, urgent := map[int]uint64{}, false, 0
	for t := range h.leaders {
		epochs[t.partition] = max(epochs[t.partition], t.epoch)
	}
	again := false
	for _, e := range epochs {
		again = again || e > 1
	}
	for _, v := range h.promised {
		ranks = ranks || v.more
	}
	for _, s := range h.sent {
		if s.urgent && s.outcome == Accepted {
			urgent++
		}
	}
	got := r.Receipts > 0
	r.Judged = map[string]bool{
		Twice: got, Order: got, Foreign: got, Lost: got && len(h.faults) > 0, Missed: r.Waits[WaitOpen].Count > r.Subscribers,
		Fenced: again && r.Decisions["vouched"] > 0, Disk: ranks, Spread: len(h.accepted) > 1, Invalid: len(h.accepted) > 1,
		Readback: len(h.readBacks) > 0, Recovery: len(h.faults) > 0, Behind: urgent > 0 && len(h.faults) > 0,
	}
}
