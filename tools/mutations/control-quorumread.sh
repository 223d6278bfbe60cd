# Mutants of internal/control/quorumread.
mutant apart-told internal/control/quorumread/confirmer.go 's/latest\.Isolated = !c\.majorityAnswered\.IsZero\(\) && /latest.Isolated = false \&\& /' $S 'AnIsolatedControlNode'
mutant left-alone internal/control/quorumread/confirmer.go 's/if !c\.mayRead\(voterSet, identical\)/if false/' $S 'LeftAlone'
