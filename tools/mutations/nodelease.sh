# Mutants of internal/nodelease.
mutant isolated-control-node-ignored internal/nodelease/lease.go 's/if response\.Isolated \{\n\t\treturn apierror/if false {\n\t\treturn apierror/' $S 'AnIsolatedControlNode'
mutant lease-never-ends internal/nodelease/lease.go 's/if now\.Before\(m\.leaseUntil\) \{/if true {/' $S 'CutNode'
mutant short-latency-reported internal/nodelease/latency.go 's/return max\((latency), .*\)\n/_ = settings.SlowFactor\n\treturn $1\n/' ./internal/nodelease 'FarFromSlow'
mutant silent-seeds-told internal/nodelease/server_discovery.go 's/addresses = s\.silentAddresses\(addresses\)/addresses = nil/' ./internal/nodelease 'SilentSeedIsContacted'
mutant fleet-silent-seeds-told internal/nodelease/server_discovery.go 's/addresses = s\.silentAddresses\(addresses\)/addresses = nil/' $S 'SeedsThatForgot'
mutant identified-last-resort internal/nodelease/manager_discovery.go 's/candidates = m\.eligible\(m\.identifiedNodes\(\), avoid\)/_ = m.identifiedNodes/' ./internal/nodelease 'LastResort'
