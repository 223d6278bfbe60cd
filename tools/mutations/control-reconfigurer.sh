# Mutants of internal/control/reconfigurer.
mutant dead-seat-taken internal/control/reconfigurer/steward.go 's/ins, gone, whys = append\(ins, seat\(i\)\), append\(gone, out\)/ins, gone, whys = append(ins, seat(i)), append(gone, "")/; s/!ok \|\| len\(gone\) >= r\.Spare\(\)/true || !ok/' $S 'ReplacedVoter'
mutant dead-seat-given-up internal/control/reconfigurer/steward.go 's/!ok \|\| len\(gone\) >= r\.Spare\(\)/true || !ok/' $S 'ReplacedVoter'
mutant back-without-a-seat internal/control/reconfigurer/steward.go 's/i\.Roster < r\.Sequence && i\.Stage/i.Roster == 0 \&\& i.Stage/' $S 'VotersThatAreBack'
mutant change-finished internal/control/reconfigurer/steward.go 's/s\.finish\(ctx, r, live, first\)/_ = first/' $S 'ChangeOfVotersOutlives'
