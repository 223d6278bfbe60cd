# Mutants of internal/control/register.
mutant copies-unsent internal/control/register/read.go 's/voter\.Node != p\.self,/false,/' $S 'NotSentAround'
mutant claim-asks internal/control/register/transfer.go 's/err != nil \|\| response\.Leads/err != nil || response.Leads || true/' ./internal/control/register 'ClaimAsks'
mutant compare-and-set internal/control/register/change.go 's/if isStale \{/if false \&\& isStale {/' $S 'TwoOperators|OutcomeOfALost'
mutant read-confirmed internal/control/register/read.go 's/\t\tif p\.confirmEpoch\(ctx, key, state\) \{/\t\tif p.confirmEpoch(ctx, key, state) || true {/' $S 'TwentySeconds|OneLinearizableRegister'
mutant stale-base-asked internal/control/register/change.go 's/if isStale && !p\.confirmEpoch\(ctx, request\.Key, state\) \{/if false {/' ./internal/control/register 'StaleBase'
mutant metadata-written internal/control/register/change.go 's/\n\t\tMetadata: request\.Metadata,//' $S 'AcceptedOrder'
