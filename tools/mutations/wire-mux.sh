# Mutants of internal/wire/mux.
mutant unsent-only internal/wire/mux/network.go 's/case err == errUnsent && !again:/case err != nil \&\& !again:/' ./internal/wire/mux 'DoneTwice'
