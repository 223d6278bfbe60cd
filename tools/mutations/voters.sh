# Mutants of internal/voters.
mutant intact internal/voters/set.go 's/return len\(s\.Voters\) - s\.Majority\(\) \+ 1/return len(s.Voters) - s.Majority()/' $M 'SmallBounds'
