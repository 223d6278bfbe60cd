# Mutants of internal/operator/orderlog.
mutant orders-forgotten internal/operator/orderlog/log.go 's/order\.Sequence > l\.ForgottenThrough \|\| //' ./internal/operator/orderlog 'ForgetsTheOldest|OlderConfiguration'
mutant orders-one-name internal/operator/orderlog/log.go 's/hex\.EncodeToString\(o\.Digest\[:\]\)/hex.EncodeToString([]byte{byte(o.Sequence)})/' ./internal/operator/orderlog 'DifferByContent'
