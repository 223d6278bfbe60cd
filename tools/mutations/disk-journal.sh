# Mutants of internal/disk/journal.
mutant unfinished-compaction internal/disk/journal/recovery.go 's/if start := unfinishedCompaction\(frames\); start < len\(frames\) \{/if start := unfinishedCompaction(frames); false \&\& start < len(frames) {/' ./internal/testing/crash 'AfterEveryWrite'
mutant probe-writes internal/disk/journal/journal.go 's/return j\.Put\(ctx, true, nil, Record\{Kind: recordtype\.Probe, Body: make\(\[\]byte, probeBytes\)\}\)/_ = recordtype.Probe; return j.Put(ctx, true, nil)/' $S 'Faults/disk_fills'
mutant torn-or-damaged internal/disk/journal/recovery.go 's/if bad != 0 && bad <= synced \{/if false {/' ./internal/disk/walog 'Tails'
mutant failed-write internal/disk/journal/write.go 's/if last > j.synced \{/if false {/' ./internal/disk/walog 'FullDisk'
mutant urgent-writes-alone internal/disk/journal/write.go 's/if len\(puts\) > 0 \{\n\t\t\tbreak\n\t\t\}//' ./internal/disk/journal 'WrittenAlone'
mutant scrub-in-slices internal/disk/journal/scrub.go 's/scrubSlice = 64/scrubSlice = 1 << 30/' ./internal/disk/journal 'ScrubLets'
mutant lock-retained-acceptor internal/disk/journal/journal.go 's/afterApply: lock\.Retain\(\), //' ./internal/control/acceptor 'GivesUp'
mutant lock-retained-replica internal/disk/journal/journal.go 's/afterApply: lock\.Retain\(\), //' ./internal/partitionlog/replica 'GivesUp'
