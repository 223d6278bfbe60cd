package leader

// readerToken is the number that a reader's run must send with its requests, of the run that asked
// last. It shows that the run was there after all other runs of its node that this leader heard of.
type readerToken struct {
	bootID string
	number uint64
	// finished tells that this run reads no further.
	finished bool
}

// tokensPerEpoch keeps the numbers of one epoch apart from those of others, as a request may come
// late from a run that an earlier leader gave a number.
const tokensPerEpoch = 1 << 20

// readerTokenOf returns the number that a run must send, and whether sent is it. The lock is held.
func (l *Leader) readerTokenOf(node, bootID string, sent uint64) (number uint64, isValid bool) {
	token := l.readerTokens[node]
	if token.bootID != bootID {
		l.lastReaderToken = max(l.lastReaderToken, l.Record.Epoch*tokensPerEpoch) + 1
		token = readerToken{bootID: bootID, number: l.lastReaderToken}
		l.readerTokens[node] = token
	}
	return token.number, token.number == sent && !token.finished
}
