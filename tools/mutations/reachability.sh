# Mutants of internal/reachability.
mutant sent-in-vain internal/reachability/probe.go 's/if result\.Value\.Reachable \{/if true {/' $S 'RedirectedInVain'
