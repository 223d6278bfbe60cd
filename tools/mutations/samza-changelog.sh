# Mutants of internal/samza/changelog.
mutant offset-after-batch internal/samza/changelog/replay.go 's/len\(\*p\) < part\.Parts \{/false {/' ./internal/samza/changelog 'Whole'
