# Mutants of internal/wire/mux.
mutant unsent-only internal/wire/mux/network.go 's/case err == errUnsent && !retried:/case err != nil \&\& !retried:/' ./internal/wire/mux 'DoneTwice'
