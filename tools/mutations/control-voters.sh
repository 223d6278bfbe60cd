# Mutants of internal/control/voters.
mutant intact internal/control/voters/set.go 's/return len\(s\.Voters\) - s\.Majority\(\) \+ 1/return len(s.Voters) - s.Majority()/' $M 'SmallBounds'
