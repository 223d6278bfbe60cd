# Mutants of internal/reachability.
mutant unreachable-peers-accepted internal/reachability/probe.go 's/if result\.Value\.Reachable \{/if true {/' $S 'RedirectedInVain'
