# Mutants of internal/control/reconfigurer.
mutant absent-voter-replaced internal/control/reconfigurer/plan.go 's/append\(change\.removed, replaced\)/append(change.removed, "")/; s/!isAbsent \|\| len\(surplus\) >= next\.SpareVoters\(\)/true || !isAbsent/' $S 'ReplacedVoter'
mutant absent-voter-removed internal/control/reconfigurer/plan.go 's/!isAbsent \|\| len\(surplus\) >= next\.SpareVoters\(\)/true || !isAbsent/' $S 'ReplacedVoter'
mutant returned-nonvoter-candidate internal/control/reconfigurer/plan.go 's/node\.VoterSet < current\.Sequence && node\.Stage/node.VoterSet == 0 \&\& node.Stage/' $S 'VotersThatAreBack'
mutant change-finished internal/control/reconfigurer/reconfigurer.go 's/return r\.finishStalledChange\(ctx, current, live, coordinator\)/_ = coordinator; return false/' $S 'ChangeOfVotersOutlives'
