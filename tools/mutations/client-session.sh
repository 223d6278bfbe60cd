# Mutants of internal/client/session.
mutant left-purge internal/client/session/house.go 's/v\.held\.Drop\(t\)/_ = v.held/' ./internal/client/session 'ReachAllThatWaits'
mutant keys-known internal/client/session/withdraw.go 's/return h\.Ledger\.Keys\(\)/return nil/' ./internal/client/session 'AreAnswered'
mutant forgotten-by-all internal/client/session/withdraw.go 's/if len\(u\.Nodes\) == 0 \{/if true {/' ./internal/client/session 'AreAnswered'
mutant fleet-yes-waits internal/client/session/withdraw.go 's/if len\(u\.Nodes\) == 0 \{/if true {/' $S 'RouterDropsOut'
