# Mutants of internal/membership/reachability.
mutant sent-in-vain internal/membership/reachability/touch.go 's/if a\.A\.Well \{/if true {/' $S 'RedirectedInVain'
