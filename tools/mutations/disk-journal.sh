# Mutants of internal/disk/journal.
mutant anew-whole internal/disk/journal/journal.go 's/if k := unfinished\(fs\); k < len\(fs\) \{/if k := unfinished(fs); false \&\& k < len(fs) {/' ./internal/testing/crash 'AfterEveryWrite'
mutant probe-writes internal/disk/journal/journal.go 's/return j\.Put\(ctx, true, nil, Rec\{Kind: kinds\.Probe, Body: make\(\[\]byte, probeBytes\)\}\)/return j.Put(ctx, true, nil)/' $S 'Faults/disk_fills'
mutant torn-or-damaged internal/disk/journal/journal.go 's/if bad != 0 && bad <= mark \{/if false {/' ./internal/disk/walog 'Tails'
mutant failed-write internal/disk/journal/journal.go 's/if last > j.mark \{/if false {/' ./internal/disk/walog 'FullDisk'
mutant urgent-writes-alone internal/disk/journal/journal.go 's/if len\(ps\) > 0 \{\n\t\t\tbreak\n\t\t\}//' ./internal/disk/journal 'WrittenAlone'
mutant scrub-in-slices internal/disk/journal/anew.go 's/scrubSlice = 64/scrubSlice = 1 << 30/' ./internal/disk/journal 'ScrubLets'
mutant turn-kept internal/disk/journal/journal.go 's/after: t\.More\(\), //' ./internal/control/acceptor 'GivesUp'
mutant line-kept internal/disk/journal/journal.go 's/after: t\.More\(\), //' ./internal/partitionlog/replica 'GivesUp'
