# Mutants of internal/membership/failuredetector.
mutant slow-is-not-silent internal/membership/failuredetector/watch.go 's/Silent\(\)\+2\*x\.took/Silent()+0*x.took/' $S 'AnswersSlowly'
