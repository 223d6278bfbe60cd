# Mutants of internal/control/quorumread.
mutant apart-told internal/control/quorumread/confirmer.go 's/latest\.Isolated = !c\.majorityAnswered\.IsZero\(\) && /latest.Isolated = false \&\& /' $S 'ACutControlNode'
mutant left-alone internal/control/quorumread/confirmer.go 's/if !c\.mayRead\(voterSet, identical\)/if false/' $S 'LeftAlone'
