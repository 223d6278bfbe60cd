# Mutants of internal/configuration.
mutant retired-urgency internal/configuration/retired.go 's/if p\.urgent != urgent \{/if false \&\& p.urgent != urgent {/' $S 'ComesBack'
mutant lanes-kept internal/configuration/lanes.go 's/if _, ok := t\.longest\(p\); !ok \{/if true {/' ./internal/configuration 'Lane'
