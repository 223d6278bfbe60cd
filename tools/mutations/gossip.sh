# Mutants of internal/gossip.
mutant records-without-history-relayed internal/gossip/exchange.go 's/if !g\.Disk \{\n\t\tupdate\.Records = nil\n\t\}/_ = g/' ./internal/gossip 'WithoutHistory'
mutant configuration-goes-back internal/gossip/store_configuration.go 's/complete != nil && complete.Sequence > s.configuration.Sequence/complete != nil \&\& complete.Sequence != s.configuration.Sequence/' ./internal/gossip 'NeverGoesBack'
