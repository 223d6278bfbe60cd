# Mutants of internal/partitionlog/replica.
mutant fence-replica internal/partitionlog/replica/replica.go 's/if s := r.seals\[t.Partition\]; t.Epoch < s \{/if s := r.seals[t.Partition]; false && t.Epoch < s {/' ./internal/partitionlog/replica 'Fenced'
mutant fence-cut internal/partitionlog/replica/replica.go 's/(func \(r \*Replica\) TruncateAfter.*?)in, err := r\.lockPartition\(ctx, t\)\n\tif err != nil \{\n\t\treturn err\n\t\}/$1back, err := r.locks.LockNumber(ctx, t.Partition)\n\tif err != nil {\n\t\treturn err\n\t}\n\tin := keylock.Share(back)/s' ./internal/partitionlog/replica 'CutsNothing'
mutant directory-check internal/partitionlog/replica/replica.go 's/return d, ok && at == d.At/return d, ok \&\& at != log.Position{}/' ./internal/partitionlog/replica 'Directory'
mutant disk-incarnation internal/partitionlog/replica/replica.go 's/if t.Incarnation != r.incarnation \{/if false \&\& t.Incarnation != r.incarnation {/' ./internal/partitionlog/replica 'Incarnation'
mutant still-sealed internal/partitionlog/replica/idle.go 's/Epoch: r\.seals\[partition\]\}/Epoch: 3}/' ./internal/partitionlog/replica TestStillStands
mutant still-this-disk internal/partitionlog/replica/idle.go 's/request\.Incarnation != r\.incarnation/request.Incarnation == "?"/' ./internal/partitionlog/replica TestStillStands
