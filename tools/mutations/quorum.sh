# Mutants of internal/quorum.
mutant silence-is-no-answer internal/quorum/gather.go 's/for range len\(targets\) - len\(results\) \{/for range 0 {/' ./internal/quorum 'NotAnswer'
