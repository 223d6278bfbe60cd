# Mutants of internal/membership/failuredetector.
mutant slow-is-not-silent internal/membership/failuredetector/detector.go 's/FailureTimeout\(\)\+2\*watched\.latency/FailureTimeout()+0*watched.latency/' $S 'AnswersSlowly'
