# Mutants of internal/operator.
mutant base internal/operator/replace.go 's/case cur\.Sequence != d\.Base:/case false \&\& cur.Sequence != d.Base:/' $S 'TwoOperators|Invalid'
mutant orders-remembered internal/operator/replace.go 's/Memory: log\.With\(o\)\.Pack\(\)/Memory: log.Pack()/' $S 'AcceptedOrder'
mutant final-confirmed internal/operator/drains.go 's/all\.refuse\(problem\.UnknownNode/problem.New(problem.UnknownNode/' ./internal/operator 'FinalAnswers'
