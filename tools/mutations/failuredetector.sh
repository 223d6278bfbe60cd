# Mutants of internal/failuredetector.
mutant slow-leader-fails internal/failuredetector/detector.go 's/FailureTimeout\(\)\+2\*watched\.latency/FailureTimeout()+0*watched.latency/' $S 'SlowStorageNodeMayBeSilent'
