package history

// noteJudged fills in which rules this run could have broken. The rule about fenced leaders needs a
// partition with a second epoch. The one about disks needs a second promise of one disk. The one
// about returning clients needs a stream that was opened again. Urgent calls are checked by the
// same waits as all other calls.
func (h *History) noteJudged(report *Report) {
	epochs, repeatedPromise, urgent := map[int]uint64{}, false, 0
	for term := range h.leaders {
		epochs[term.partition] = max(epochs[term.partition], term.epoch)
	}
	secondEpoch := false
	for _, epoch := range epochs {
		secondEpoch = secondEpoch || epoch > 1
	}
	for _, promised := range h.promised {
		repeatedPromise = repeatedPromise || promised.repeated
	}
	for _, state := range h.sent {
		if state.urgent && state.outcome == Accepted {
			urgent++
		}
	}
	received := report.Receipts > 0
	report.Judged = map[string]bool{
		Twice: received, Order: received, Foreign: received, Lost: received && len(h.faults) > 0,
		Missed: report.Waits[WaitOpen].Count > report.Subscribers,
		Fenced: secondEpoch && report.Decisions["vouched"] > 0, Disk: repeatedPromise,
		Spread: len(h.configurations) > 1, Invalid: len(h.configurations) > 1,
		Readback: len(h.readings) > 0, Recovery: len(h.faults) > 0, Behind: urgent > 0 && len(h.faults) > 0,
	}
}
