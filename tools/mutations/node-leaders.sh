# Mutants of internal/node/leaders.
mutant renew-named-disk internal/node/leaders/owners.go 's/ \|\| !k\.named\(r\)//' $S 'WipedStoreAsks'
mutant reread-again internal/node/leaders/owners.go 's/for try := 0; !k\.reread\(ctx, p\); try\+\+ \{/for try := 0; !k.reread(ctx, p) \&\& try < 0; try++ {/' $S 'KeepsAsking'
mutant records-unread internal/node/leaders/owners.go 's/if k\.Board\.Record\(p\)\.Holds\(k\.Self\) \{/if false {/' $S TestRecordsAreNotReadAtRest
