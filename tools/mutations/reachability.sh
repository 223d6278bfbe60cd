# Mutants of internal/reachability.
mutant sent-in-vain internal/reachability/touch.go 's/if a\.A\.Well \{/if true {/' $S 'RedirectedInVain'
