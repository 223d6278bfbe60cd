package leader

// readerToken is the number that a reader's run must send with its requests. The leader assigns it
// to the run of a node that called last. A request with that number was sent after the leader last
// heard of any other run of the node.
type readerToken struct {
	bootID string
	number uint64
	// finished is set once this run reads no further.
	finished bool
}

// tokensPerEpoch keeps the numbers of one epoch apart from those of other epochs, because a late
// request may come from a run that got its number from an earlier leader.
const tokensPerEpoch = 1 << 20

// readerTokenOf returns the number that a run must send, and whether sent is that number. l.mu must
// be held.
func (l *Leader) readerTokenOf(node, bootID string, sent uint64) (number uint64, isValid bool) {
	token := l.readerTokens[node]
	if token.bootID != bootID {
		l.lastReaderToken = max(l.lastReaderToken, l.Record.Epoch*tokensPerEpoch) + 1
		token = readerToken{bootID: bootID, number: l.lastReaderToken}
		l.readerTokens[node] = token
	}
	return token.number, token.number == sent && !token.finished
}
