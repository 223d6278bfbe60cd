# Mutants of internal/partitionlog/log.
mutant base-not-back internal/partitionlog/log/line.go 's/if p.Offset <= l.base.Offset \|\| p.Offset > l.last\(\).Offset \{\n\t\treturn/if p.Offset <= l.base.Offset || p.Offset > l.last().Offset {\n\t\tl.base, l.es, l.at = p, nil, nil\n\t\treturn/' ./internal/partitionlog/log 'Base'
