# Mutants of internal/delivery/fanout.
mutant place-meanwhile internal/delivery/fanout/open.go 's/s\.After != nil && \(!ok \|\| offset > \*s\.After\)/false \&\& ok \&\& offset > 0/' ./internal/delivery/fanout 'BetweenOpen'
mutant waiting-apart internal/delivery/fanout/follow.go 's/slices\.Concat\(asked, f\.pending\)/append(asked, f.pending...)/' ./internal/delivery/fanout 'AfterRequeue'
mutant deaf-lets-go internal/delivery/fanout/feed.go 's/return f\.isReader && f\.readerToken > 0 &&/return false \&\& f.readerToken > 0 \&\&/' $S 'ADeafRouter'
mutant deaf-releases-first internal/delivery/fanout/finish.go 's/(releaseAndFinish\(request \*leader\.FollowRequest\) \{\n)\tf\.hub\.release\(f\.partition, true\)\n/$1/' ./internal/delivery/fanout 'IsolatedReader'
mutant held-back-purge internal/delivery/fanout/tombstones.go 's/return entry\.Type == log\.TypeMessage && entry\.Key == withdrawal/return false \&\& entry.Key == withdrawal/' ./internal/delivery/fanout 'DropsQueued'
mutant older-than-a-mark internal/delivery/fanout/tombstones.go 's/return entry\.Key != "" && entry\.Type == log\.TypeMessage &&/return false \&\&/' ./internal/delivery/fanout 'OlderThanTombstone'
mutant marks-let-go internal/delivery/fanout/follow.go 's/f\.openPending\(call, response\)\n\tf\.tombstones = nil/f.openPending(call, response)/' ./internal/delivery/fanout 'OlderThanTombstone'
mutant superseded-answer internal/delivery/fanout/follow.go 's/err == nil && response\.Epoch < f\.highestEpoch/false \&\& response.Epoch < f.highestEpoch/' ./internal/delivery/fanout 'Superseded'
mutant poll-after-empty internal/delivery/fanout/poll.go 's/if generation != f\.generation \{/if false \&\& generation != f.generation {/' ./internal/delivery/fanout 'FromBeforeLast'
mutant let-go-before-poll internal/delivery/fanout/poll.go 's/(f\.hub\.withdraw\(f\.partition, withdrawn\))/go func() { _ = f.hub.clock.Sleep(f.hub.ctx, 1e9); $1 }()/' ./internal/delivery/fanout 'NextPoll'
mutant clean-anew internal/delivery/fanout/finish.go 's/clear\(f\.changed\)\n\tf\.nextBoot\(\)/clear(f.changed)/' ./internal/delivery/fanout 'GivenUp'
mutant clean-lets-go internal/delivery/fanout/finish.go 's/(finishReset\(\) \{\n)\tf\.hub\.release\(f\.partition, true\)\n/$1/' ./internal/delivery/fanout 'GivenUp'
mutant clean-breaks internal/delivery/fanout/finish.go 's/f\.remove\(s\)\n\t\t\t\ts\.OnBroken\(\)/f.pending = append(f.pending, s)/' ./internal/delivery/fanout 'GivenUp'
mutant done-said internal/delivery/fanout/poll.go 's/go f\.releaseAll\(\)/f.hasPosition = false/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant done-again internal/delivery/fanout/finish.go 's/f\.isReader = !ok\n/f.isReader = false\n/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant done-other-boot internal/delivery/fanout/follow.go 's/if f\.isFinished \{/if false \&\& f.isFinished {/' ./internal/delivery/fanout 'TestReader_ReportsFinished'
mutant place-until-let-go internal/delivery/fanout/poll.go 's/case !f\.isReader:\n/default:\n/; s/case !f\.hasPosition:\n\t\tf\.wake\(\)\n\tcase !f\.isReleasing:\n\t\tf\.isReleasing = true\n\t\tgo f\.releaseAll\(\)\n/\n/' ./internal/delivery/fanout 'BeforeReaderIsFinished'
mutant lost-answer-reads internal/delivery/fanout/poll.go 's/\tf\.isReader = true\n\tif f\.isIsolated/\tif f.isIsolated/' ./internal/delivery/fanout 'LatePollResponse'
mutant lost-follow-reads internal/delivery/fanout/follow.go 's/\t\tf\.isReader = true\n\t\tf\.resend/\t\tf.resend/' ./internal/delivery/fanout 'LostFollow'
mutant shut-while-letting-go internal/delivery/fanout/follow.go 's/if f\.suspensions > 0 \{/if false {/' ./internal/delivery/fanout 'WhileBuffersAreReleased'
mutant done-after-let-go internal/delivery/fanout/finish.go 's/if ok \{\n\t\tf\.isReleasing/if ok = true; ok {\n\t\tf.isReleasing/' ./internal/delivery/fanout 'AfterWithdrawalCompletes'
mutant void-poll-reads internal/delivery/fanout/poll.go 's/f\.isReader = f\.isReader \|\| response\.IsReader \|\| hasKeys\(response\.Entries\)/_ = hasKeys/' ./internal/delivery/fanout 'LatePollResponse'
mutant reader-heeded internal/delivery/fanout/follow.go 's/response\.IsReader/false/g' ./internal/delivery/fanout TestReaderWithoutKeys
mutant reader-heeded-poll internal/delivery/fanout/poll.go 's/response\.IsReader/false/g' ./internal/delivery/fanout TestReaderWithoutKeys
mutant turn-heeded internal/delivery/fanout/follow.go 's/f\.readerToken = response\.ReaderToken/_ = response/' ./internal/delivery/fanout TestReaderTokenIsSent
mutant lost-paced internal/delivery/fanout/follow.go 's/if isCurrent && \(!call\.request\.Full \|\| f\.readerToken != call\.request\.ReaderToken\) \{/if true {/' ./internal/delivery/fanout TestReaderTokenIsSent
