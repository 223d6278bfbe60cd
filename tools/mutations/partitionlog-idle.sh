# Mutants of internal/partitionlog/idle.
mutant idle-halves internal/partitionlog/idle/idle.go 's/case !response\.Identical:\n\t\toutcome = Uncertain\n//' ./internal/partitionlog/idle TestALogThatDiffers
mutant idle-sooner internal/partitionlog/idle/idle.go 's/case queue\.wake != nil && due\.Before\(queue\.due\):\n\t\tqueue\.wake\(\)\n//' ./internal/partitionlog/idle TestALogThatIsDueSooner
