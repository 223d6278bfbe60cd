# Mutants of internal/partitionlog/router.
mutant configuration-known internal/partitionlog/router/handlers.go 's/if index.Sequence < message.Configuration \{/if false \&\& index.Sequence < message.Configuration {/' $S 'Before'
mutant offers-in-order internal/partitionlog/router/submitqueue.go 's/q\.waiting = append\(submits, q\.waiting\.\.\.\)/q.waiting = append(q.waiting, submits...)/' ./internal/partitionlog/router 'InOrder'
mutant submit-uncertain internal/partitionlog/router/submit.go 's/submit\.isUncertain = submit\.isUncertain \|\| record\.Leader != r\.Self/submit.isUncertain = submit.isUncertain \&\& wereUncertain[i]/' ./internal/partitionlog/router 'TrueOutcome'
mutant urgent-home internal/partitionlog/router/router.go 's/urgent = urgent && r\.UsesTwoHomes\(\)/urgent = false/' $S 'UrgentProceeds'
mutant reject-at-once internal/partitionlog/router/forward.go 's/if isExhausted && s\.router\.Store/if false \&\& isExhausted \&\& s.router.Store/' $S 'RejectedAtOnce'
