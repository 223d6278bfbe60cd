# Mutants of internal/configuration.
mutant retired-urgency internal/configuration/removed.go 's/if old\.urgent != urgent \{/if false \&\& old.urgent != urgent {/' $S 'ComesBack'
mutant lanes-reassigned internal/configuration/lanes.go 's/if _, ok := table\.longest\(path\); !ok \{/if true {/' ./internal/configuration 'Lane'
