# Mutants of internal/operator/orderlog.
mutant orders-forgotten internal/operator/orderlog/accepted.go 's/o\.Sequence > l\.ForgottenThrough \|\| //' ./internal/operator/orderlog 'ForgetsTheOldest|OlderDescription'
mutant orders-one-name internal/operator/orderlog/accepted.go 's/hex\.EncodeToString\(o\.Digest\[:\]\)/hex.EncodeToString([]byte{byte(o.Sequence)})/' ./internal/operator/orderlog 'DifferByContent'
