# Mutants of internal/operator.
mutant base internal/operator/replace.go 's/case cur\.Sequence != d\.Base:/case false \&\& cur.Sequence != d.Base:/' $S 'TwoOperators|Invalid'
mutant orders-remembered internal/operator/replace.go 's/Metadata: log\.Append\(o\)\.Marshal\(\)/Metadata: log.Marshal()/' $S 'AcceptedOrder'
mutant final-confirmed internal/operator/drains.go 's/all\.refuse\(apierror\.UnknownNode/apierror.New(apierror.UnknownNode/' ./internal/operator 'FinalAnswers'
