# Mutants of internal/delivery/fanout.
mutant opened-meanwhile internal/delivery/fanout/open.go 's/s\.After != nil && \(!ok \|\| offset > \*s\.After\)/false \&\& ok \&\& offset > 0/' ./internal/delivery/fanout 'BetweenOpen'
mutant requeue-in-place internal/delivery/fanout/follow.go 's/slices\.Concat\(subscriptions, f\.pending\)/append(subscriptions, f.pending...)/' ./internal/delivery/fanout 'AfterRequeue'
mutant isolated-reader-never-abandons internal/delivery/fanout/feed.go 's/return f\.isReader && f\.readerToken > 0 &&/return false \&\& f.readerToken > 0 \&\&/' $S 'RouterThatReceivesNothing'
mutant abandon-without-release internal/delivery/fanout/finish.go 's/(releaseAndFinish\(request \*leader\.FollowRequest\) \{\n)\tf\.hub\.release\(f\.partition, true\)\n/$1/' ./internal/delivery/fanout 'IsolatedReader'
mutant queued-not-withdrawn internal/delivery/fanout/tombstones.go 's/return entry\.Type == log\.TypeMessage && entry\.Key == withdrawal/return false \&\& entry.Key == withdrawal/' ./internal/delivery/fanout 'DropsQueued'
mutant backlog-older-than-tombstone internal/delivery/fanout/tombstones.go 's/return entry\.Key != "" && entry\.Type == log\.TypeMessage &&/return false \&\&/' ./internal/delivery/fanout 'OlderThanTombstone'
mutant tombstones-never-cleared internal/delivery/fanout/follow.go 's/f\.openPending\(call, response\)\n\tf\.tombstones = nil/f.openPending(call, response)/' ./internal/delivery/fanout 'OlderThanTombstone'
mutant superseded-response internal/delivery/fanout/follow.go 's/err == nil && response\.Epoch < f\.highestEpoch/false \&\& response.Epoch < f.highestEpoch/' ./internal/delivery/fanout 'Superseded'
mutant stale-poll-delivered internal/delivery/fanout/poll.go 's/if generation != f\.generation \{/if false \&\& generation != f.generation {/' ./internal/delivery/fanout 'FromBeforeLast'
mutant withdraw-after-next-poll internal/delivery/fanout/poll.go 's/(f\.hub\.withdraw\(f\.partition, withdrawn\))/go func() { _ = f.hub.clock.Sleep(f.hub.ctx, 1e9); $1 }()/' ./internal/delivery/fanout 'NextPoll'
mutant reset-without-new-boot-id internal/delivery/fanout/finish.go 's/clear\(f\.changed\)\n\tf\.renewBootID\(\)/clear(f.changed)/' ./internal/delivery/fanout 'GivenUp'
mutant reset-without-release internal/delivery/fanout/finish.go 's/(finishReset\(\) \{\n)\tf\.hub\.release\(f\.partition, true\)\n/$1/' ./internal/delivery/fanout 'GivenUp'
mutant reset-without-break internal/delivery/fanout/finish.go 's/f\.remove\(s\)\n\t\t\t\ts\.OnBroken\(\)/f.pending = append(f.pending, s)/' ./internal/delivery/fanout 'GivenUp'
mutant finish-not-reported internal/delivery/fanout/poll.go 's/go f\.releaseAll\(\)/f.hasPosition = false/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant finish-not-repeated internal/delivery/fanout/finish.go 's/f\.isReader = !ok\n/f.isReader = false\n/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant finish-without-new-boot-id internal/delivery/fanout/follow.go 's/if f\.isFinished \{/if false \&\& f.isFinished {/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant position-dropped-before-release internal/delivery/fanout/poll.go 's/case !f\.isReader:\n/default:\n/; s/case !f\.hasPosition:\n\t\tf\.reportNow\(\)\n\tcase !f\.isReleasing:\n\t\tf\.isReleasing = true\n\t\tgo f\.releaseAll\(\)\n/\n/' ./internal/delivery/fanout 'BeforeReaderIsFinished'
mutant lost-poll-not-reader internal/delivery/fanout/poll.go 's/\tf\.isReader = true\n\tif f\.isIsolated/\tif f.isIsolated/' ./internal/delivery/fanout 'LatePollResponse'
mutant lost-follow-not-reader internal/delivery/fanout/follow.go 's/\t\tf\.isReader = true\n\t\tf\.resend/\t\tf.resend/' ./internal/delivery/fanout 'LostFollow'
mutant follow-during-release internal/delivery/fanout/follow.go 's/if f\.suspensions > 0 \{/if false {/' ./internal/delivery/fanout 'WhileBuffersAreReleased'
mutant finished-before-release internal/delivery/fanout/finish.go 's/if ok \{\n\t\tf\.isReleasing/if ok = true; ok {\n\t\tf.isReleasing/' ./internal/delivery/fanout 'AfterWithdrawalCompletes'
mutant stale-poll-not-reader internal/delivery/fanout/poll.go 's/f\.isReader = f\.isReader \|\| response\.IsReader \|\| hasKeys\(response\.Entries\)/_ = hasKeys/' ./internal/delivery/fanout 'LatePollResponse'
mutant follow-reader-ignored internal/delivery/fanout/follow.go 's/response\.IsReader/false/g' ./internal/delivery/fanout TestReaderWithoutKeys
mutant poll-reader-ignored internal/delivery/fanout/poll.go 's/response\.IsReader/false/g' ./internal/delivery/fanout TestReaderWithoutKeys
mutant reader-token-ignored internal/delivery/fanout/follow.go 's/f\.readerToken = response\.ReaderToken/_ = response/' ./internal/delivery/fanout TestReaderTokenIsSent
mutant rejection-without-backoff internal/delivery/fanout/follow.go 's/if isCurrent && \(!call\.request\.Full \|\| f\.readerToken != call\.request\.ReaderToken\) \{/if true {/' ./internal/delivery/fanout TestReaderTokenIsSent
