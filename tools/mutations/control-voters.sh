# Mutants of internal/control/voters.
mutant intact internal/control/voters/roster.go 's/return len\(r\.Seats\) - r\.Majority\(\) \+ 1/return len(r.Seats) - r.Majority()/' $M 'SmallBounds'
