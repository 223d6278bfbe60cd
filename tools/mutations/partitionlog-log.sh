# Mutants of internal/partitionlog/log.
mutant base-not-back internal/partitionlog/log/log.go 's/if position.Offset <= l.base.Offset \|\| position.Offset > l.last\(\).Offset \{\n\t\treturn/if position.Offset <= l.base.Offset || position.Offset > l.last().Offset {\n\t\tl.base, l.entries, l.arrived = position, nil, nil\n\t\treturn/' ./internal/partitionlog/log 'Base'
