# Mutants of internal/control/quorumread.
mutant isolation-reported internal/control/quorumread/confirmer.go 's/latest\.Isolated = !c\.majorityAnswered\.IsZero\(\) && /latest.Isolated = false \&\& /' $S 'AnIsolatedControlNode'
mutant differing-copies-left internal/control/quorumread/confirmer.go 's/if !c\.mayRead\(voterSet, identical\)/if false/' $S 'LeftAlone'
