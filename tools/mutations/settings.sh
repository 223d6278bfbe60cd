# Mutants of internal/settings.
mutant silent-six internal/settings/bounds.go 's/silentShare     = 16/silentShare     = 12/' $S 'MadeGoodWithinASecond'
