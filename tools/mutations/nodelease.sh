# Mutants of internal/nodelease.
mutant apart-left internal/nodelease/lease.go 's/if response\.Isolated \{\n\t\treturn apierror/if false {\n\t\treturn apierror/' $S 'AnIsolatedControlNode'
mutant licence internal/nodelease/lease.go 's/if now\.Before\(m\.leaseUntil\) \{/if true {/' $S 'CutNode'
mutant swift-is-swift internal/nodelease/latency.go 's/return max\((latency), .*\)\n/_ = settings.SlowFactor\n\treturn $1\n/' ./internal/nodelease 'FarFromSlow'
