# Mutants of internal/partitionlog/router.
mutant description-known internal/partitionlog/router/desk.go 's/if x.Sequence < q.Description \{/if false \&\& x.Sequence < q.Description {/' $S 'Before'
mutant offers-in-order internal/partitionlog/router/offer.go 's/l\.wait = append\(os, l\.wait\.\.\.\)/l.wait = append(l.wait, os...)/' ./internal/partitionlog/router 'InOrder'
mutant offer-doubt internal/partitionlog/router/offer.go 's/o\.doubt = o\.doubt \|\| r\.Owner != d\.Self/o.doubt = o.doubt \&\& doubts[i]/' ./internal/partitionlog/router 'TruePromise'
mutant urgent-home internal/partitionlog/router/desk.go 's/urgent = urgent && d\.TwoHomes\(\)/urgent = false/' $S 'UrgentGoes'
mutant told-at-once internal/partitionlog/router/desk.go 's/if over && d\.Board/if false \&\& over \&\& d.Board/' $S 'RejectedAtOnce'
