# Mutants of internal/control/reconfigurer.
mutant dead-seat-taken internal/control/reconfigurer/plan.go 's/append\(change\.removed, replaced\)/append(change.removed, "")/; s/!isAbsent \|\| len\(givenUp\) >= next\.SpareVoters\(\)/true || !isAbsent/' $S 'ReplacedVoter'
mutant dead-seat-given-up internal/control/reconfigurer/plan.go 's/!isAbsent \|\| len\(givenUp\) >= next\.SpareVoters\(\)/true || !isAbsent/' $S 'ReplacedVoter'
mutant back-without-a-seat internal/control/reconfigurer/plan.go 's/node\.VoterSet < current\.Sequence && node\.Stage/node.VoterSet == 0 \&\& node.Stage/' $S 'VotersThatAreBack'
mutant change-finished internal/control/reconfigurer/reconfigurer.go 's/return r\.finishStalledChange\(ctx, current, live, coordinator\)/_ = coordinator; return false/' $S 'ChangeOfVotersOutlives'
