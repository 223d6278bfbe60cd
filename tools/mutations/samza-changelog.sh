# Mutants of internal/samza/changelog.
mutant offset-after-batch internal/samza/changelog/changelog.go 's/len\(parts\) < batch.Parts \{/false {/' ./internal/samza/changelog 'Whole'
