# Mutants of internal/control/register.
mutant copies-unsent internal/control/register/holder.go 's/peek\(ctx, s, s\.Node != h\.self\)/peek(ctx, s, false)/' $S 'NotSentAround'
mutant claim-asks internal/control/register/holder.go 's/err != nil \|\| w\.Holds/err != nil || w.Holds || true/' ./internal/control/register 'ClaimAsks'
mutant compare-and-set internal/control/register/holder.go 's/if v.value.Writes != q.Base \{/if false \&\& v.value.Writes != q.Base {/' $S 'TwoOperators|Outcome'
mutant read-confirmed internal/control/register/holder.go 's/\t\tif h\.confirm\(ctx, k, v\) \{/\t\tif h.confirm(ctx, k, v) || true {/' $S 'TwentySeconds|AnsweredAsByOne'
mutant stale-base-asked internal/control/register/holder.go 's/if v\.value\.Writes != q\.Base && !h\.confirm\(ctx, q\.Key, v\) \{/if false {/' ./internal/control/register 'StaleBase'
mutant memory-kept internal/control/register/holder.go 's/, Memory: q\.Memory\}/}/' $S 'AcceptedOrder'
