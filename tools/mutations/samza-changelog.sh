# Mutants of internal/samza/changelog.
mutant offset-after-batch internal/samza/changelog/changelog.go 's/len\(parts\) < b.Parts \{/false {/' ./internal/samza/changelog 'Whole'
