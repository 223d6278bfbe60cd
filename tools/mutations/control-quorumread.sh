# Mutants of internal/control/quorumread.
mutant apart-told internal/control/quorumread/confirm.go 's/c\.Apart = f\.reached != none && /c.Apart = false \&\& /' $S 'AnIsolatedControlNode'
mutant left-alone internal/control/quorumread/confirm.go 's/if !f\.settle\(r, same\)/if false/' $S 'LeftAlone'
