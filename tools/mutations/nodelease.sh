# Mutants of internal/nodelease.
mutant apart-left internal/nodelease/session.go 's/if a\.Apart \{\n\t\treturn problem/if false \{\n\t\treturn problem/' $S 'AnIsolatedControlNode'
mutant licence internal/nodelease/session.go 's/if now\.Before\(k\.until\) \|\| /if true || /' $S 'CutNode'
mutant swift-is-swift internal/nodelease/session.go 's/return max\((slices\.Sorted\(slices\.Values\(k\.lags\)\)\[lagAt\]), .*\)\n/_ = options.SlowTimes\n\treturn $1\n/' ./internal/nodelease 'FarFromSlow'
