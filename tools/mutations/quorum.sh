# Mutants of internal/quorum.
mutant missing-answer-is-error internal/quorum/gather.go 's/for range len\(targets\) - len\(results\) \{/for range 0 {/' ./internal/quorum 'NotAnswer'
