# Mutants of internal/settings.
mutant silent-six internal/settings/timing.go 's/failureFraction        = 16/failureFraction        = 12/' $S 'FailsOverWithinASecond'
