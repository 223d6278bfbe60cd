# Mutants of internal/failuredetector.
mutant slow-leader-fails internal/failuredetector/detector.go 's/FailureTimeout\(\)\+2\*target\.latency/FailureTimeout()+0*target.latency/' $S 'SlowStorageNodeMayBeSilent'
