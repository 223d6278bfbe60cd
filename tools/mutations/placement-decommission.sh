# Mutants of internal/placement/decommission.
mutant drain-order-persists internal/placement/decommission/order.go 's/return ok && !order\.Returned/return ok \&\& !order.Returned \&\& !order.Done/' $S 'ARestartDoesNotEnd'
mutant drain-read internal/placement/decommission/order.go 's/return nil, apierror\.Wrap\(apierror\.DiskDamaged, err, "read the list of drains"\)/_ = apierror.Code("")\n\t\treturn Orders{}, nil/' ./internal/placement/decommission 'CantBeRead'
