# Mutants of internal/node/leaders.
mutant renew-named-disk internal/node/leaders/manager.go 's/ \|\| !m\.isNamed\(record\)//' $S 'WipedStorageNodeAsks'
mutant reread-again internal/node/leaders/manager.go 's/for attempt := 0; !m\.tryRenewEpoch\(ctx, id\); attempt\+\+ \{/for attempt := 0; !m.tryRenewEpoch(ctx, id) \&\& attempt < 0; attempt++ {/' $S 'KeepsAsking'
mutant records-unread internal/node/leaders/records.go 's/if m\.Store\.Record\(partition\)\.Includes\(m\.Self\) \{/if false {/' $S TestRecordsAreNotReadAtRest
