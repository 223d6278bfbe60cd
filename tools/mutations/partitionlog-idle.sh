# Mutants of internal/partitionlog/idle.
mutant still-halves internal/partitionlog/idle/still.go 's/case !a\.Alike:\n\t\tsaid = Doubt\n//' ./internal/partitionlog/idle TestWhatDiffers
mutant still-sooner internal/partitionlog/idle/still.go 's/case g\.wake != nil && due\.Before\(g\.due\):\n\t\tg\.wake\(\)\n//' ./internal/partitionlog/idle TestALineThatIsDueSooner
