# Mutants of internal/membership/reachability.
mutant sent-in-vain internal/membership/reachability/probe.go 's/if result\.Value\.Reachable \{/if true {/' $S 'SentAwayInVain'
