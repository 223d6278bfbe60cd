# Mutants of internal/operator.
mutant base internal/operator/configuration.go 's/case current\.Sequence != config\.Base:/case false \&\& current.Sequence != config.Base:/' $S 'TwoOperators|Invalid'
mutant orders-remembered internal/operator/configuration.go 's/Metadata:    log\.Append\(order\)\.Marshal\(\)/Metadata:    log.Marshal()/' $S 'AcceptedOrder'
mutant final-confirmed internal/operator/decommission.go 's/known\.refuse\(apierror\.UnknownNode/apierror.New(apierror.UnknownNode/' ./internal/operator 'FinalAnswers'
