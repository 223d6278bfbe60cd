# Mutants of internal/placement/decommission.
mutant drain-stays internal/placement/decommission/drain.go 's/return ok && !d\.Back/return ok \&\& !d.Back \&\& !d.Done/' $S 'ARestartDoesNotEnd'
mutant drain-read internal/placement/decommission/drain.go 's/return nil, problem\.Wrap\(problem\.DiskDamaged, err, "read the list of drains"\)/_ = problem.Kind("")\n\t\treturn List{}, nil/' ./internal/placement/decommission 'CantBeRead'
