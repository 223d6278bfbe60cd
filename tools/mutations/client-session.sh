# Mutants of internal/client/session.
mutant left-purge internal/client/session/session.go 's/s\.buffer\.Drop\(topic\)/_ = s.buffer/' ./internal/client/session 'ReachesAllBuffers'
mutant keys-known internal/client/session/withdraw.go 's/return r\.PartitionLog\.CheckKeysSupported\(\)/return nil/' ./internal/client/session 'AreAnswered'
mutant forgotten-by-all internal/client/session/withdraw.go 's/if len\(pending\.Nodes\) == 0 \{/if true {/' ./internal/client/session 'AreAnswered'
mutant fleet-completion-waits internal/client/session/withdraw.go 's/if len\(pending\.Nodes\) == 0 \{/if true {/' $S 'RouterDropsOut'
mutant number-decided internal/client/session/session.go 's/err = router\.RejectCallNumber\(err\)/_ = router.RejectCallNumber(err)/' ./internal/client/session 'PromisesNothing'
mutant fleet-number-decided internal/client/session/session.go 's/err = router\.RejectCallNumber\(err\)/_ = router.RejectCallNumber(err)/' $S 'UnderANewNumber'
